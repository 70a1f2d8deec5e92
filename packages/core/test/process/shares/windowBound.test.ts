import { expect } from 'chai';
import * as fc from 'fast-check';
import { runSchedule, type Schedule } from './runSchedule.js';

const RUNS = Number(process.env.SHARES_RUNS ?? 1_000);

const SEED = Number(process.env.SHARES_SEED ?? 20_261_204);

const SAMPLED_RUNS = RUNS / 5;

/** Tolerance for the rounding of sums of fractions. */
const TOLERANCE = 1e-6;

const schedules: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.nat(2 ** 31),
  vms: fc.oneof(
    { weight: 4, arbitrary: fc.integer({ min: 1, max: 8 }) },
    fc.integer({ min: 9, max: 24 }),
  ),
  domains: fc.integer({ min: 1, max: 4 }),
  spare: fc.constantFrom(0, 0, 1),
  shareLeaseMs: fc.integer({ min: 200, max: 1_500 }),
  lengthMs: fc.integer({ min: 3_000, max: 8_000 }),
  loss: fc.constantFrom(0, 0.01, 0.2),
  duplication: fc.constantFrom(0, 0.05, 0.3),
  delay: fc.constantFrom(0, 0.02, 0.2),
  faultMs: fc.constantFrom(50, 200, 1_000),
  changesBundle: fc.boolean(),
  // A high rate with a small burst leaves little slack that could hide an overrun.
  rate: fc.constantFrom(5, 60, 1_000),
  burst: fc.constantFrom(1, 5, 30, 90),
  sampleMs: fc.constant(Number.POSITIVE_INFINITY),
});

/** Schedules of small fleets, sampled often enough to detect an overlap of a few milliseconds. */
const sampledSchedules: fc.Arbitrary<Schedule> = fc
  .tuple(schedules, fc.integer({ min: 2, max: 6 }))
  .map(([schedule, vms]) => ({ ...schedule, vms, lengthMs: 4_000, rate: 60, sampleMs: 2 }));

describe('window bound', function describeWindowBound() {
  this.timeout(RUNS * 200);

  it('guards against a time window with more grants in the fleet than rate x length + burst', () => {
    let granted = 0;
    fc.assert(
      fc.property(schedules, (schedule) => {
        const result = runSchedule(schedule);
        granted += result.granted;
        expect(result.overrun).to.equal(0);
      }),
      { seed: SEED, numRuns: RUNS },
    );
    // Without this check, a fleet that grants nothing would pass.
    expect(granted).to.be.greaterThan(20 * RUNS);
  });

  it('guards against capacity or refill that is at two places at the same time', () => {
    fc.assert(
      fc.property(sampledSchedules, (schedule) => {
        expect(runSchedule(schedule).usable).to.be.at.most(1 + TOLERANCE);
      }),
      { seed: SEED, numRuns: SAMPLED_RUNS },
    );
  });
});
