import type { Bundle } from '../version/Bundle.js';
import type { Route } from '../version/routeSchema.js';
import type { Service } from '../version/serviceSchema.js';
import { findTargetFault, splitTarget } from './findTargetFault.js';
import { RouteTable } from './RouteTable.js';

export interface RouteMatch {
  readonly route: Route;
  readonly service: Service;
  /** Path and query as the backend server sees them, without the service segment. */
  readonly backendTarget: string;
}

/** Kept beside the bundles so that a bundle stays plain data. */
const tables = new WeakMap<Bundle, RouteTable>();

/**
 * Finds the route of a request. The first path segment names the service, and `:name` matches one segment.
 * @param bundle - Bundle in force.
 * @param method - HTTP method in upper case.
 * @param target - Path and query as received, service segment included.
 * @returns Undefined when no route matches or `findTargetFault` finds a fault.
 */
export function matchRoute(bundle: Bundle, method: string, target: string): RouteMatch | undefined {
  if (findTargetFault(target) !== undefined) {
    return undefined;
  }
  const { path, query } = splitTarget(target);
  const [name = '', ...segments] = path.slice(1).split('/');
  const service = bundle.services.get(name);
  if (service === undefined) {
    return undefined;
  }
  const isRoot = segments.length === 1 && segments[0] === '';
  const route = resolveRouteTable(bundle).find(
    name,
    method,
    isRoot ? [] : segments.map((segment) => decodeURIComponent(segment)),
  );
  if (route === undefined) {
    return undefined;
  }
  return { route, service, backendTarget: `/${segments.join('/')}${query}` };
}

/**
 * Prepares the lookup table of a bundle; later calls return the same table.
 * @param bundle - Bundle that was just built.
 */
export function resolveRouteTable(bundle: Bundle): RouteTable {
  const known = tables.get(bundle);
  if (known !== undefined) {
    return known;
  }
  const table = new RouteTable(bundle.routes.values());
  tables.set(bundle, table);
  return table;
}
