import { caller } from '@tanagerpond/testkit';
import type { Ending, Measure, OfKind } from '../language/index.js';
import { countPriorityInversions } from './countPriorityInversions.js';
import { readVersions } from './publishRollout.js';
import { findLoad, type ScenarioState } from './ScenarioState.js';

type Measurements = {
  readonly [Kind in Measure['kind']]: (
    state: ScenarioState,
    measure: OfKind<Measure, Kind>,
  ) => Promise<number> | number;
};

/** Functions that compute each kind of measured value. Times are in milliseconds. */
const MEASUREMENTS: Measurements = {
  fraction: (state, { load, ending }) => {
    const { sent } = findLoad(state, load);
    return sent === 0 ? 0 : countEnding(state, load, ending) / sent;
  },
  count: (state, { load, ending }) => countEnding(state, load, ending),
  rate: (state, { load, ending }) =>
    (countEnding(state, load, ending) * 1_000) / computeSpanMs(findLoad(state, load)),
  recent: (state, { load, ending, durationMs }) =>
    countEnding(state, load, ending, performance.now() - durationMs),
  doubleRuns: (state) => state.fleet.runCollector.listDuplicateRuns().length,
  notRunButRan: (state) =>
    state.fleet.runCollector.listMisreportedAttempts(listNotRunAttempts(state)).length,
  keysSeen: (state) => state.fleet.runCollector.keysSeen,
  wrong: (state) =>
    [...state.loads.keys()].reduce((sum, load) => sum + countEnding(state, load, 'wrong'), 0),
  refusals: (state, { load, reason }) =>
    findLoad(state, load).records.filter((record) => record.reason === reason).length,
  refusedInside: (state, { load }) => computeRefusedInside(findLoad(state, load)),
  attempts: (state, { load }) => findLoad(state, load).attempts / findLoad(state, load).sent,
  runsPerRequest: (state, { route, load }) =>
    countRuns(state, route) / Math.max(1, findLoad(state, load).sent),
  runs: (state, { route }) => countRuns(state, route),
  workAfterLeaving: (state, { vm, durationMs }) => {
    const fromMs = (state.stopRequestedMs.get(vm) ?? Infinity) + durationMs;
    return state.fleet.runCollector.runs.filter((run) => run.vm === vm && run.atMs > fromMs).length;
  },
  inversions: (state) => countPriorityInversions(state),
  version: async (state, { vm }) => (await readVersions(state, vm))[0] ?? 0,
  lowestVersion: async (state) => Math.min(...(await readVersions(state))),
  takeEffect: ({ rollout }) =>
    rollout?.effectiveMs === undefined ? Infinity : rollout.effectiveMs - rollout.publishedMs,
  withdrawal: (state, { workspace }) => computeWithdrawalMs(state, workspace),
  reads: async (state) => {
    const counters = (await state.fleet.platform.send('/counters')) as { readsPerSecond: number };
    return counters.readsPerSecond;
  },
  crashed: (state) => countUnexpectedEnds(state, 'backend'),
  endedNodes: (state) => countUnexpectedEnds(state, 'node'),
  latency: (state, { load, percentile }) => {
    const summary = caller.collectSummary(findLoad(state, load).records);
    return percentile === 'p50' ? summary.p50Ms : summary.p99Ms;
  },
};

/**
 * Computes the current value of a measure.
 * @param state - State of the run.
 * @param measure - Measure of an `expect` statement.
 * @returns A count, a fraction, a rate per second, or a time in milliseconds; Infinity if the measured event has not
 * happened.
 * @throws Error if the platform does not answer.
 */
export async function measureValue(state: ScenarioState, measure: Measure): Promise<number> {
  const compute = MEASUREMENTS[measure.kind] as (
    of: ScenarioState,
    what: Measure,
  ) => Promise<number> | number;
  return compute(state, measure);
}

function countEnding(state: ScenarioState, name: string, ending: Ending, fromMs = 0): number {
  const load = findLoad(state, name);
  if (ending === 'sent') {
    return load.sent;
  }
  return load.records.filter((record) => record.end === ending && record.endedMs >= fromMs).length;
}

function computeSpanMs(load: caller.CallerLoad): number {
  const starts = load.records.map((record) => record.startedMs);
  return Math.max(1, Math.max(...starts) - Math.min(...starts));
}

function listNotRunAttempts(state: ScenarioState): readonly string[] {
  return [...state.loads.values()].flatMap((load) =>
    load.records.flatMap((record) => record.notRunAttempts),
  );
}

/**
 * Computes the fraction of a load's requests that was refused as not run. All refusals count, whatever their reason,
 * because the measure is meant for loads that stay within the rate of their workspace.
 */
function computeRefusedInside(load: caller.CallerLoad): number {
  const refused = load.records.filter((record) => record.end === 'refusedNotRun');
  return refused.length / Math.max(1, load.sent);
}

function countRuns(state: ScenarioState, route: string): number {
  const counted = state.fleet.runCollector.runs.slice(state.firstCountedRun);
  return counted.filter((run) => run.route === route).length;
}

/** Computes the time from the withdrawal of a key to the start of the last request that still got a complete answer. */
function computeWithdrawalMs(state: ScenarioState, workspace: string): number {
  const fromMs = state.withdrawnMs.get(workspace) ?? Infinity;
  const lastMs = [...state.loads.values()]
    .filter((load) => load.workspace === workspace)
    .flatMap((load) => load.records)
    .filter((record) => record.end === 'whole')
    .reduce((latest, record) => Math.max(latest, record.startedMs), fromMs);
  return lastMs - fromMs;
}

function countUnexpectedEnds(state: ScenarioState, part: 'node' | 'backend'): number {
  return [...state.fleet.vms.values()].filter(
    (vm) => vm[part]?.isRunning === false && !state.expectedEnds.has(`${part} ${vm.plan.name}`),
  ).length;
}
