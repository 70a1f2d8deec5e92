import { expect } from 'chai';
import { findOverrun } from './findOverrun.js';
import { runSchedule, type Mutation, type Schedule } from './runSchedule.js';

const SCHEDULES = 40;

const SCHEDULE_WITH_FAULTS: Omit<Schedule, 'seed'> = {
  vms: 3,
  domains: 1,
  spare: 0,
  shareLeaseMs: 500,
  lengthMs: 4_000,
  loss: 0,
  duplication: 0,
  delay: 0,
  faultMs: 100,
  changesBundle: false,
  rate: 60,
  burst: 5,
  sampleMs: 10,
};

describe('checks of the window bound', function describeChecks() {
  this.timeout(20_000);

  it('guards against a check that misses a restarted owner without a startup wait', () => {
    expect(findWorst({}).usable).to.be.closeTo(1, 1e-6);
    expect(findWorst({ skipStartupWait: true }).usable).to.be.greaterThan(1.1);
  });

  it('guards against a check that misses tokens granted by a process that uses an outdated time', () => {
    expect(findWorst({}).overrun).to.equal(0);
    expect(findWorst({ staleClock: true }).overrun).to.be.greaterThan(0);
  });

  it('guards against a check that covers only windows between consecutive grants', () => {
    const steady = Array.from({ length: 20 }, (_, index) => index * 100);
    expect(findOverrun(steady, 10, 1)).to.equal(0);
    expect(findOverrun([...steady, 1_950], 10, 1)).to.be.closeTo(0.5, 1e-9);
    expect(findOverrun(steady, 9, 2)).to.be.closeTo(0.9, 1e-9);
    expect(findOverrun(steady, 9, 1)).to.be.greaterThan(1);
  });
});

function findWorst(mutation: Mutation): { overrun: number; usable: number } {
  const worst = { overrun: 0, usable: 0 };
  for (let seed = 1; seed <= SCHEDULES; seed++) {
    // Sampling advances the clock of every rate limiter and could hide an overrun, so the window check runs without it.
    const { usable } = runSchedule({ ...SCHEDULE_WITH_FAULTS, seed }, mutation);
    const sampleMs = Number.POSITIVE_INFINITY;
    const { overrun } = runSchedule({ ...SCHEDULE_WITH_FAULTS, seed, sampleMs }, mutation);
    worst.usable = Math.max(worst.usable, usable);
    worst.overrun = Math.max(worst.overrun, overrun);
  }
  return worst;
}
