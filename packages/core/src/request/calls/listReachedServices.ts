import type { Bundle, Route } from '@tanagerpond/bundle';

/** Services by route, computed once for each bundle. */
const knownServices = new WeakMap<Bundle, Map<string, readonly string[]>>();

/**
 * Lists the services that a call of a route may reach: its own and, through the declared calls, the deeper ones.
 * @param bundle - Bundle in force; its calls have no cycles.
 * @param route - Route of the call.
 */
export function listReachedServices(bundle: Bundle, route: Route): readonly string[] {
  const byRoute = knownServices.get(bundle) ?? new Map<string, readonly string[]>();
  knownServices.set(bundle, byRoute);
  const known = byRoute.get(route.name);
  if (known !== undefined) {
    return known;
  }
  const deeper = route.calls.flatMap((name) => {
    const called = bundle.routes.get(name);
    return called === undefined ? [] : listReachedServices(bundle, called);
  });
  const services = [...new Set([route.service, ...deeper])];
  byRoute.set(route.name, services);
  return services;
}
