import { backend } from '@tanagerpond/testkit';
import type { Deployment, PlannedVm } from './Deployment.js';

/** Service times and seed of the backend servers of a run. */
export interface BackendTuning {
  readonly seed: number;
  /** Mean service time of routes that `workMs` does not contain, without the calls that they make, in milliseconds. */
  readonly defaultWorkMs: number;
  /** Mean service time by route, in milliseconds. */
  readonly workMs: ReadonlyMap<string, number>;
  /** Time after its start during which a backend server is slower, in milliseconds. */
  readonly coldMs: number;
}

/**
 * Builds the options of the backend server of one VM. Routes, their calls and the number of slots come from the bundle.
 * @param deployment - Deployment with the bundle.
 * @param vm - VM of the backend server.
 * @param tuning - Service times, seed and the origin of the run collector.
 */
export function buildBackendOptions(
  deployment: Deployment,
  vm: PlannedVm,
  tuning: BackendTuning & { readonly collector: string },
): backend.BackendOptions {
  const { routes, services } = deployment.bundle;
  return backend.backendOptionsSchema.parse({
    vm: vm.name,
    service: vm.service,
    slots: services.get(vm.service)?.slots,
    seed: tuning.seed,
    collector: tuning.collector,
    coldMs: tuning.coldMs,
    routes: [...routes.values()]
      .filter((route) => route.service === vm.service)
      .map((route) => ({
        name: route.name,
        method: route.method,
        path: route.path,
        repeatable: route.repeatable,
        serviceMs: tuning.workMs.get(route.name) ?? tuning.defaultWorkMs,
        calls: route.calls.flatMap((name) => {
          const called = routes.get(name);
          return called === undefined ? [] : [buildTarget(called)];
        }),
      })),
  });
}

/** Builds the name, method and path of a route as callers and egress calls use it. The service is the first segment. */
export function buildTarget(route: {
  readonly name: string;
  readonly method: string;
  readonly service: string;
  readonly path: string;
}): { route: string; method: string; target: string } {
  return { route: route.name, method: route.method, target: `/${route.service}${route.path}` };
}
