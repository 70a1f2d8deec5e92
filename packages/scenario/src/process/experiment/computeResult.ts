import { caller } from '@tanagerpond/testkit';
import type { Experiment } from './experimentSchema.js';

/** Start of each phase of a run, and the end of the run, in monotonic milliseconds. */
export interface Phases {
  readonly beforeMs: number;
  readonly surgeMs: number;
  readonly afterMs: number;
  readonly endMs: number;
}

/** Results of one run. Goodput is the number of requests per second that ended `whole`; times are in milliseconds. */
export interface RunResult {
  readonly goodput: { readonly before: number; readonly surge: number; readonly after: number };
  /** Goodput during the surge as a fraction of the capacity given in the experiment file. */
  readonly surgeGoodputOfCapacity: number;
  /**
   * Time from the end of the surge to the start of the first 2 s window in which at least 95% of the arriving requests
   * ended `whole`; null if there is no such window.
   */
  readonly recoveryMs: number | null;
  /** The workspace within its rate that had the smallest fraction of `whole` requests during the surge. */
  readonly worstServed: { readonly workspace: string; readonly fraction: number };
  /** Fraction of requests refused, over the whole run, among the workspaces that sent within their rate. */
  readonly refusedInsideRate: number;
  readonly p99Ms: number;
  readonly ends: caller.LoadSummary;
}

const SECOND_MS = 1_000;

/** Service counts as recovered when this fraction of the requests that arrive in a window ends `whole`. */
const RECOVERED_FRACTION = 0.95;
const RECOVERED_SECONDS = 2;

/**
 * A workspace counts as within its rate when it sends at most this fraction of the rate, because Poisson arrivals
 * exceed their mean for short times.
 */
const WITHIN_RATE_FRACTION = 0.9;

/**
 * Computes the results of a run from the request records of its loads.
 * @param experiment - Experiment that was run.
 * @param phases - When its phases began.
 * @param loads - Loads of the run, all ended.
 * @param rates - Rate limit of each workspace in the bundle, in requests per second.
 */
export function computeResult(
  experiment: Experiment,
  phases: Phases,
  loads: readonly caller.CallerLoad[],
  rates: ReadonlyMap<string, number>,
): RunResult {
  const records = loads.flatMap((load) => load.records);
  const goodput = {
    before: computeGoodput(records, phases.beforeMs, phases.surgeMs),
    surge: computeGoodput(records, phases.surgeMs, phases.afterMs),
    after: computeGoodput(records, phases.afterMs, phases.endMs),
  };
  const ends = caller.collectSummary(records);
  return {
    goodput,
    surgeGoodputOfCapacity: goodput.surge / experiment.experiment.capacity,
    recoveryMs: computeRecovery(records, phases),
    worstServed: findWorstServed(records, loads, rates, phases),
    refusedInsideRate: computeRefusedFraction(records, listWorkspacesWithinRate(loads, rates)),
    p99Ms: ends.p99Ms,
    ends,
  };
}

function computeGoodput(
  records: readonly caller.RequestRecord[],
  fromMs: number,
  toMs: number,
): number {
  const whole = records.filter(
    (record) => record.end === 'whole' && record.endedMs >= fromMs && record.endedMs < toMs,
  );
  return (whole.length * SECOND_MS) / (toMs - fromMs);
}

function computeRecovery(records: readonly caller.RequestRecord[], phases: Phases): number | null {
  for (let fromMs = phases.afterMs; fromMs + RECOVERED_SECONDS * SECOND_MS <= phases.endMs;) {
    const toMs = fromMs + RECOVERED_SECONDS * SECOND_MS;
    if (computeServedFraction(records, fromMs, toMs) >= RECOVERED_FRACTION) {
      return fromMs - phases.afterMs;
    }
    fromMs += SECOND_MS / 4;
  }
  return null;
}

function computeServedFraction(
  records: readonly caller.RequestRecord[],
  fromMs: number,
  toMs: number,
): number {
  const arrived = records.filter((record) => record.startedMs >= fromMs && record.startedMs < toMs);
  const whole = arrived.filter((record) => record.end === 'whole');
  return arrived.length === 0 ? 1 : whole.length / arrived.length;
}

/**
 * Lists the workspaces whose loads together stay within their rate. Refusals of the other workspaces are expected and
 * do not count as bad service.
 */
function listWorkspacesWithinRate(
  loads: readonly caller.CallerLoad[],
  rates: ReadonlyMap<string, number>,
): ReadonlySet<string> {
  const sent = new Map<string, number>();
  loads.forEach((load) => {
    sent.set(load.workspace, (sent.get(load.workspace) ?? 0) + load.ratePerSecond);
  });
  const withinRate = [...sent].filter(
    ([workspace, rate]) => rate <= (rates.get(workspace) ?? 0) * WITHIN_RATE_FRACTION,
  );
  return new Set(withinRate.map(([workspace]) => workspace));
}

function findWorstServed(
  records: readonly caller.RequestRecord[],
  loads: readonly caller.CallerLoad[],
  rates: ReadonlyMap<string, number>,
  phases: Phases,
): RunResult['worstServed'] {
  const served = [...listWorkspacesWithinRate(loads, rates)].map((workspace) => ({
    workspace,
    fraction: computeServedFraction(
      records.filter((record) => record.workspace === workspace),
      phases.surgeMs,
      phases.afterMs,
    ),
  }));
  served.sort((left, right) => left.fraction - right.fraction);
  return served[0] ?? { workspace: '', fraction: 1 };
}

function computeRefusedFraction(
  records: readonly caller.RequestRecord[],
  withinRate: ReadonlySet<string>,
): number {
  const own = records.filter((record) => withinRate.has(record.workspace));
  const refused = own.filter((record) => record.end === 'refusedNotRun');
  return refused.length / Math.max(1, own.length);
}
