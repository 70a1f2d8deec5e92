import type { Bundle } from '../version/Bundle.js';
import type { Route } from '../version/routeSchema.js';
import type { Service } from '../version/serviceSchema.js';
import { findTargetFault, splitTarget } from './findTargetFault.js';
import { RouteTable } from './RouteTable.js';

/** Route that matches a request, with its service. */
export interface RouteMatch {
  readonly route: Route;
  readonly service: Service;
  /** Path and query to send to the backend server, without the service segment. */
  readonly backendTarget: string;
}

/** Route table of each bundle, held outside of the bundle so that a bundle remains plain data. */
const tableByBundle = new WeakMap<Bundle, RouteTable>();

/**
 * Finds the route of a request. The first path segment names the service, and `:name` matches one segment.
 * @param bundle - Current bundle.
 * @param method - HTTP method in upper case.
 * @param target - Path and query as received, service segment included.
 * @returns The match; undefined when no route matches or `findTargetFault` finds a fault.
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
 * Returns the route table of a bundle. The first call for a bundle builds the table.
 * @param bundle - Bundle whose routes are looked up.
 */
export function resolveRouteTable(bundle: Bundle): RouteTable {
  const known = tableByBundle.get(bundle);
  if (known !== undefined) {
    return known;
  }
  const table = new RouteTable(bundle.routes.values());
  tableByBundle.set(bundle, table);
  return table;
}
