import type { caller } from '@tanagerpond/testkit';
import type { Fleet } from '../fleet/index.js';

/** A published bundle version and the time at which it took effect. Times are monotonic milliseconds. */
export interface Rollout {
  readonly version: number;
  readonly publishedMs: number;
  /** When every serving node was first seen with this or a later version; undefined until then. */
  effectiveMs: number | undefined;
}

/** State that the statements of one run share. Times are monotonic milliseconds. */
export interface ScenarioState {
  readonly fleet: Fleet;
  /** Loads that were started, by name. */
  readonly loads: Map<string, caller.CallerLoad>;
  /** Promises that resolve when a load has ended, by name of the load. */
  readonly runningLoads: Map<string, Promise<void>>;
  /** When the withdrawal of a key was published, by workspace. */
  readonly withdrawnMs: Map<string, number>;
  /** When the node or the backend server of a VM was first told to stop, by VM. */
  readonly stopRequestedMs: Map<string, number>;
  /** Processes that a statement stopped or killed, as `node VM` or `backend VM`; the end of any other is unexpected. */
  readonly expectedEnds: Set<string>;
  /** Index of the first run that counts in measures of runs; earlier runs belong to the warm-up. */
  readonly firstCountedRun: number;
  rollout: Rollout | undefined;
  /** Seed of the first load; each further load has the next integer as its seed. */
  readonly seed: number;
  /** Aborts when the run is interrupted. */
  readonly signal: AbortSignal;
}

/**
 * Finds a VM of the fleet by its name.
 * @throws Error if the VM does not exist.
 */
export function findVm(state: ScenarioState, name: string) {
  const vm = state.fleet.vms.get(name);
  if (vm === undefined) {
    throw new Error(
      `the deployment has no VM ${name}; its VMs are ${[...state.fleet.vms.keys()].join(', ')}`,
    );
  }
  return vm;
}

/**
 * Finds a load by its name.
 * @throws Error if no load of this name has been started.
 */
export function findLoad(state: ScenarioState, name: string): caller.CallerLoad {
  const load = state.loads.get(name);
  if (load === undefined) {
    throw new Error(`no load ${name} was started`);
  }
  return load;
}
