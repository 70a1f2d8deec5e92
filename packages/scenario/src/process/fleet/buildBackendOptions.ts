import { backend } from '@tanagerpond/testkit';
import type { Deployment, PlannedVm } from './Deployment.js';

/** How the backend servers of a run work. */
export interface BackendTuning {
  readonly seed: number;
  /** Mean own work of a route, in milliseconds, unless `workMs` names the route. */
  readonly defaultWorkMs: number;
  readonly workMs: ReadonlyMap<string, number>;
  readonly coldMs: number;
}

/**
 * Builds the options of the backend server of one VM from the bundle: its routes, their calls and its slots.
 * @param deployment - Bundle of the run.
 * @param vm - VM of the backend server.
 * @param tuning - Work times, seed and the origin of the run collector.
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

/** A route as callers and backend servers address it, with the service segment. */
export function buildTarget(route: {
  readonly name: string;
  readonly method: string;
  readonly service: string;
  readonly path: string;
}): { route: string; method: string; target: string } {
  return { route: route.name, method: route.method, target: `/${route.service}${route.path}` };
}
