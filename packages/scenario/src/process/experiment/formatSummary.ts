import type { ExperimentRun } from './runExperiment.js';

/**
 * Formats the results of one run as text lines.
 * @param run - Result of the run.
 */
export function formatSummary(run: ExperimentRun): readonly string[] {
  const { goodput, machine, worstServed, ends } = run;
  const recovery =
    run.recoveryMs === null ? 'not within the run' : `${formatNumber(run.recoveryMs / 1_000)} s`;
  return [
    `${run.policy}, seed ${run.seed}`,
    `  goodput of whole requests   ${formatNumber(goodput.before)}/s before, ${formatNumber(goodput.surge)}/s in the surge (${formatPercent(run.surgeGoodputOfCapacity)} of capacity), ${formatNumber(goodput.after)}/s after`,
    `  recovery after the surge    ${recovery}`,
    `  worst-served workspace      ${worstServed.workspace || 'none inside its rate'} ${formatPercent(worstServed.fraction)} in the surge`,
    `  refused inside the rate     ${formatPercent(run.refusedInsideRate)}`,
    `  ends                        whole ${ends.whole}, not run ${ends.refusedNotRun}, unknown ${ends.unknown}, failed ${ends.failed}, wrong ${ends.wrong}`,
    `  double runs ${run.doubleRuns}, runs behind "not run" ${run.notRunButRan}, latency p99 ${formatNumber(run.p99Ms)} ms`,
    `  machine                     ${formatPercent(machine.busyFraction)} of ${machine.cores} cores busy, this run used ${machine.ownCores === null ? 'an unknown part' : formatNumber(machine.ownCores)}, event loop of the callers p99 ${formatNumber(machine.eventLoopP99Ms)} ms`,
  ];
}

function formatNumber(value: number): string {
  return value.toFixed(1);
}

function formatPercent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`;
}
