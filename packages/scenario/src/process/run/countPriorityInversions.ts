import type { caller, collector } from '@tanagerpond/testkit';
import type { ScenarioState } from './ScenarioState.js';

const SHED_REASONS = new Set(['overloaded', 'preempted']);

/**
 * Counts priority inversions: requests of class 0, the most important one, that were shed although a request of a less
 * important class for the same service began to run between their arrival and their refusal.
 * @param state - State of the run.
 */
export function countPriorityInversions(state: ScenarioState): number {
  const { routes } = state.fleet.deployment.bundle;
  const shed = [...state.loads.values()]
    .flatMap((load) => load.records)
    .filter(
      (record) => SHED_REASONS.has(record.reason) && routes.get(record.route)?.priority === 0,
    );
  const lessImportant = state.fleet.runCollector.runs.filter(
    (run) => (routes.get(run.route)?.priority ?? 0) > 0,
  );
  return shed.filter((record) => hasLessImportantRun(record, lessImportant)).length;
}

function hasLessImportantRun(
  record: caller.RequestRecord,
  lessImportant: readonly collector.Run[],
): boolean {
  const service = record.route.split('.')[0];
  return lessImportant.some(
    (run) =>
      run.route.split('.')[0] === service &&
      run.atMs > record.startedMs &&
      run.atMs < record.endedMs,
  );
}
