import { expect } from 'chai';
import * as fc from 'fast-check';
import { buildTestBundle } from './buildTestBundle.js';
import { FakeFleet } from './FakeFleet.js';
import { findViolations } from './findViolations.js';
import { runSchedule, STEP_KINDS } from './runSchedule.js';

/** Number of schedules; the proof requires `TANAGERPOND_SCHEDULES=10000`. */
const SCHEDULES = Number(process.env.TANAGERPOND_SCHEDULES ?? 500);

const SEED = 20_261_204;

const step = fc.record({
  atMs: fc.integer({ min: 0, max: 8_000 }),
  kind: fc.constantFrom(...STEP_KINDS),
  choice: fc.nat(1_000),
  lengthMs: fc.integer({ min: 10, max: 6_000 }),
});

describe('randomized schedules of kills, pauses, partitions, resets and retrying callers', function suite() {
  this.timeout(SCHEDULES * 100 + 20_000);

  it('guards against double runs, runs after a "not run" refusal, wrong answers and excess attempts', () => {
    fc.assert(
      fc.property(fc.nat(), fc.array(step, { minLength: 4, maxLength: 40 }), (seed, steps) => {
        const fleet = new FakeFleet(seed, buildTestBundle());
        const records = runSchedule(fleet, steps);
        expect(findViolations(fleet, records)).to.deep.equal([]);
      }),
      { seed: SEED, numRuns: SCHEDULES },
    );
  });

  it('guards against the same violations if no answer has a length', () => {
    fc.assert(
      fc.property(fc.nat(), fc.array(step, { minLength: 4, maxLength: 40 }), (seed, steps) => {
        const fleet = new FakeFleet(seed, buildTestBundle());
        fleet.setFraming('close');
        const records = runSchedule(fleet, steps);
        expect(findViolations(fleet, records)).to.deep.equal([]);
      }),
      { seed: SEED, numRuns: Math.ceil(SCHEDULES / 5) },
    );
  });
});
