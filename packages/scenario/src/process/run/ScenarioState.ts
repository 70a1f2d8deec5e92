import type { caller } from '@tanagerpond/testkit';
import type { Fleet } from '../fleet/index.js';

/** A rollout whose effect is awaited. Times are monotonic milliseconds. */
export interface Rollout {
  readonly version: number;
  readonly publishedMs: number;
  /** When every serving node was seen with the version. */
  effectiveMs: number | undefined;
}

/** What the statements of one run share. */
export interface ScenarioState {
  readonly fleet: Fleet;
  readonly loads: Map<string, caller.CallerLoad>;
  /** Ends of the loads that run in the background. */
  readonly runningLoads: Map<string, Promise<void>>;
  /** When a key was withdrawn, by workspace. */
  readonly withdrawnMs: Map<string, number>;
  /** When a VM or one of its parts was told to stop. */
  readonly stopRequestedMs: Map<string, number>;
  /** Backend servers and nodes that ended although no statement ended them. */
  readonly expectedEnds: Set<string>;
  /** Runs before this one belong to the warm-up. */
  readonly firstCountedRun: number;
  rollout: Rollout | undefined;
  /** Loads take the seeds from this one on, in the order in which they start. */
  readonly seed: number;
  readonly signal: AbortSignal;
}

/**
 * Finds a VM.
 * @throws Error when the deployment has none of that name.
 */
export function findVm(state: ScenarioState, name: string) {
  const vm = state.fleet.vms.get(name);
  if (vm === undefined) {
    throw new Error(`there is no VM ${name}; there are ${[...state.fleet.vms.keys()].join(', ')}`);
  }
  return vm;
}

/**
 * Finds a load that was started.
 * @throws Error when none has that name.
 */
export function findLoad(state: ScenarioState, name: string): caller.CallerLoad {
  const load = state.loads.get(name);
  if (load === undefined) {
    throw new Error(`no load ${name} was started`);
  }
  return load;
}
