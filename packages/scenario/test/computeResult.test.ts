import { expect } from 'chai';
import type { caller } from '@tanagerpond/testkit';
import { computeResult } from '../src/process/experiment/computeResult.js';
import type { Experiment } from '../src/process/experiment/experimentSchema.js';

const PHASES = { beforeMs: 0, surgeMs: 2_000, afterMs: 4_000, endMs: 10_000 };
const EXPERIMENT = { experiment: { capacity: 20 } } as Experiment;
const RATES = new Map([
  ['quiet', 100],
  ['loud', 5],
]);

/** Builds a load of ten requests per second that last 1 ms each; `end` returns how each ends by its start time. */
function buildLoad(
  workspace: string,
  end: (startedMs: number) => caller.RequestEnd,
): caller.CallerLoad {
  const records = Array.from({ length: 100 }, (_, index) => ({
    workspace,
    startedMs: index * 100,
    endedMs: index * 100 + 1,
    end: end(index * 100),
    notRunAttempts: [],
  }));
  return { workspace, ratePerSecond: 10, records } as unknown as caller.CallerLoad;
}

describe('computeResult', () => {
  it('guards against goodput that includes refusals or requests of another phase', () => {
    const load = buildLoad('quiet', (atMs) => (atMs < 2_000 ? 'whole' : 'refusedNotRun'));
    const { goodput, surgeGoodputOfCapacity } = computeResult(EXPERIMENT, PHASES, [load], RATES);
    expect(goodput).to.deep.equal({ before: 10, surge: 0, after: 0 });
    expect(surgeGoodputOfCapacity).to.equal(0);
  });

  it('guards against a recovery time that is too short, too long or reported without a recovery', () => {
    const late = buildLoad('quiet', (atMs) =>
      atMs >= 3_000 && atMs < 5_500 ? 'unknown' : 'whole',
    );
    expect(computeResult(EXPERIMENT, PHASES, [late], RATES).recoveryMs).to.equal(1_500);
    const never = buildLoad('quiet', (atMs) => (atMs >= 3_000 ? 'unknown' : 'whole'));
    expect(computeResult(EXPERIMENT, PHASES, [never], RATES).recoveryMs).to.equal(null);
  });

  it('guards against a workspace over its rate that is reported as the worst served one', () => {
    const quiet = buildLoad('quiet', (atMs) => (atMs === 2_500 ? 'refusedNotRun' : 'whole'));
    const loud = buildLoad('loud', () => 'refusedNotRun');
    const result = computeResult(EXPERIMENT, PHASES, [quiet, loud], RATES);
    expect(result.worstServed).to.deep.equal({ workspace: 'quiet', fraction: 0.95 });
    expect(result.refusedInsideRate).to.equal(0.01);
  });
});
