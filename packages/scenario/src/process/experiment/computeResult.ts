import { caller } from '@tanagerpond/testkit';
import type { Experiment } from './experimentSchema.js';

/** Phases of a run as monotonic times, in milliseconds. */
export interface Phases {
  readonly beforeMs: number;
  readonly surgeMs: number;
  readonly afterMs: number;
  readonly endMs: number;
}

/** Measures of one run; rates are whole requests a second, times are in milliseconds. */
export interface RunResult {
  readonly goodput: { readonly before: number; readonly surge: number; readonly after: number };
  /** Goodput of the surge as a fraction of the capacity that the experiment states. */
  readonly surgeGoodputOfCapacity: number;
  /** Time from the end of the surge until 2 s in a row served what came; null when that never happened. */
  readonly recoveryMs: number | null;
  readonly worstServed: { readonly workspace: string; readonly fraction: number };
  /** Fraction of the requests inside their workspace's rate that was refused, over the whole run. */
  readonly refusedInsideRate: number;
  readonly p99Ms: number;
  readonly ends: caller.LoadSummary;
}

const SECOND_MS = 1_000;

/** A second counts as normal when this part of its arrivals ends whole. */
const NORMAL_FRACTION = 0.95;
const NORMAL_SECONDS = 2;

/** A workspace within this part of its rate is inside it; Poisson arrivals exceed their mean for short times. */
const INSIDE_FRACTION = 0.9;

/**
 * Computes the measures of a run from the records of its callers.
 * @param experiment - What was run.
 * @param phases - When its phases began.
 * @param loads - Loads of the run.
 * @param rates - Rate of each workspace in the bundle.
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
    refusedInsideRate: computeRefusedInside(records, listInside(loads, rates)),
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
  for (let fromMs = phases.afterMs; fromMs + NORMAL_SECONDS * SECOND_MS <= phases.endMs;) {
    const toMs = fromMs + NORMAL_SECONDS * SECOND_MS;
    if (computeServed(records, fromMs, toMs) >= NORMAL_FRACTION) {
      return fromMs - phases.afterMs;
    }
    fromMs += SECOND_MS / 4;
  }
  return null;
}

function computeServed(
  records: readonly caller.RequestRecord[],
  fromMs: number,
  toMs: number,
): number {
  const arrived = records.filter((record) => record.startedMs >= fromMs && record.startedMs < toMs);
  const whole = arrived.filter((record) => record.end === 'whole');
  return arrived.length === 0 ? 1 : whole.length / arrived.length;
}

/** Workspaces whose loads together stay inside their rate; the others do not count as badly served. */
function listInside(
  loads: readonly caller.CallerLoad[],
  rates: ReadonlyMap<string, number>,
): ReadonlySet<string> {
  const sent = new Map<string, number>();
  loads.forEach((load) => {
    sent.set(load.workspace, (sent.get(load.workspace) ?? 0) + load.ratePerSecond);
  });
  const inside = [...sent].filter(
    ([workspace, rate]) => rate <= (rates.get(workspace) ?? 0) * INSIDE_FRACTION,
  );
  return new Set(inside.map(([workspace]) => workspace));
}

function findWorstServed(
  records: readonly caller.RequestRecord[],
  loads: readonly caller.CallerLoad[],
  rates: ReadonlyMap<string, number>,
  phases: Phases,
): RunResult['worstServed'] {
  const served = [...listInside(loads, rates)].map((workspace) => ({
    workspace,
    fraction: computeServed(
      records.filter((record) => record.workspace === workspace),
      phases.surgeMs,
      phases.afterMs,
    ),
  }));
  served.sort((left, right) => left.fraction - right.fraction);
  return served[0] ?? { workspace: '', fraction: 1 };
}

function computeRefusedInside(
  records: readonly caller.RequestRecord[],
  inside: ReadonlySet<string>,
): number {
  const own = records.filter((record) => inside.has(record.workspace));
  const refused = own.filter((record) => record.end === 'refusedNotRun');
  return refused.length / Math.max(1, own.length);
}
