import { time } from '@tanagerpond/testkit';
import type { Rollout, ScenarioState } from './ScenarioState.js';

const POLL_MS = 100;

/** Time after which a rollout is no longer watched; if it is not effective by then, it never counts as effective. */
const WATCH_LIMIT_MS = 60_000;

/**
 * Publishes the current sections as a new version. The time at which this or a later version is active on every serving
 * node is recorded in the background, unless a later rollout is published before.
 * @param state - State of the run.
 */
export async function publishRollout(state: ScenarioState): Promise<void> {
  await state.fleet.publishBundle();
  const rollout: Rollout = {
    version: state.fleet.deployment.version,
    publishedMs: performance.now(),
    effectiveMs: undefined,
  };
  Object.assign(state, { rollout });
  void watchUntilEffective(state, rollout);
}

async function watchUntilEffective(state: ScenarioState, rollout: Rollout): Promise<void> {
  const endMs = rollout.publishedMs + WATCH_LIMIT_MS;
  while (!state.signal.aborted && performance.now() < endMs && state.rollout === rollout) {
    const versions = await readVersions(state);
    if (versions.every((version) => version >= rollout.version)) {
      Object.assign(rollout, { effectiveMs: performance.now() });
      return;
    }
    await time.waitFor(POLL_MS, state.signal);
  }
}

/**
 * Reads the active bundle version of each serving node; 0 for a node that has none or does not answer.
 * @param state - State of the run.
 * @param name - Name of the only VM to read from; all VMs by default.
 */
export async function readVersions(state: ScenarioState, name?: string): Promise<number[]> {
  const serving = [...state.fleet.vms.values()].filter(
    (vm) => vm.isServing && (name === undefined || vm.plan.name === name),
  );
  return Promise.all(serving.map(async (vm) => findVersion(await vm.readState())));
}

function findVersion(dump: Readonly<Record<string, unknown>> | undefined): number {
  const decisions = dump?.decisions as { bundleVersion?: number | null } | undefined;
  return decisions?.bundleVersion ?? 0;
}
