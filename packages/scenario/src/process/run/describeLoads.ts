import { caller } from '@tanagerpond/testkit';
import type { ScenarioState } from './ScenarioState.js';

/** Maximum number of reasons shown for a load, and of requests or attempts shown for a violation. */
const SHOWN_REASONS = 8;

/**
 * Describes how the requests of each load ended, in one line per load. Printed when a scenario fails.
 * @param state - State of the run.
 */
export function describeLoads(state: ScenarioState): readonly string[] {
  return [...state.loads.values()].map((load) => {
    const { whole, refusedNotRun, unknown, failed, wrong } = caller.collectSummary(load.records);
    return (
      `       load ${load.name}: sent ${load.sent}, whole ${whole}, not run ${refusedNotRun}, ` +
      `unknown ${unknown}, failed ${failed}, wrong ${wrong}; ${describeReasons(load.records)}`
    );
  });
}

/**
 * Lists the latest output lines of all nodes and backend servers, which may say why they refused requests or exited.
 */
export function describeOutput(state: ScenarioState): readonly string[] {
  return [...state.fleet.vms.values()].flatMap((vm) =>
    [vm.node, vm.backend].flatMap((process) =>
      (process?.output ?? []).slice(1).map((line) => `       ${process?.name}: ${line}`),
    ),
  );
}

/** Describes the admission limit, level and load of each serving node, which explain refusals as `overloaded`. */
export async function describeAdmission(state: ScenarioState): Promise<readonly string[]> {
  const vms = [...state.fleet.vms.values()].filter((vm) => vm.isServing);
  return Promise.all(
    vms.map(async (vm) => {
      const decisions = (await vm.readState())?.decisions as { admission?: object } | undefined;
      const { limit, level, load } = (decisions?.admission ?? {}) as Record<string, unknown>;
      return `       node ${vm.plan.name}: ${JSON.stringify({ limit, level, load })}`;
    }),
  );
}

/**
 * Lists the runs of non-repeatable requests that ran more than once and of attempts that ran although they were
 * reported as not run. Their ids can be searched for in the logs.
 */
export function describeViolations(state: ScenarioState): readonly string[] {
  const { runCollector } = state.fleet;
  const refused = [...state.loads.values()].flatMap((load) =>
    load.records.flatMap((record) => record.notRunAttempts),
  );
  const misreported = runCollector.listMisreportedAttempts(refused).slice(0, SHOWN_REASONS);
  const duplicated = runCollector.listDuplicateRuns().slice(0, SHOWN_REASONS);
  const ids = [...misreported, ...duplicated];
  const found = runCollector.runs.filter(
    (run) => ids.includes(run.attemptId) || ids.includes(run.requestId),
  );
  return found.map(
    (run) => `       ran: ${run.attemptId} ${run.route} at ${run.vm} at ${run.atMs.toFixed(0)} ms`,
  );
}

function describeReasons(records: readonly caller.RequestRecord[]): string {
  const counts = new Map<string, number>();
  records
    .filter((record) => record.end !== 'whole')
    .forEach((record) => {
      const reason = `${record.end}/${record.status}/${record.reason}/${record.detail}`;
      counts.set(reason, (counts.get(reason) ?? 0) + 1);
    });
  return [...counts]
    .sort((left, right) => right[1] - left[1])
    .slice(0, SHOWN_REASONS)
    .map(([reason, count]) => `${reason} ${count}`)
    .join(', ');
}
