import type { Route } from '../version/routeSchema.js';
import { splitTarget } from './findTargetFault.js';

/** A service that receives a share of the requests of a host route. */
export interface RouteTarget {
  readonly route: Route;
  /** Weight relative to the other targets of the same host route. */
  readonly weight: number;
}

/** A route that is selected by host and path prefix. */
export interface HostRoute {
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /**
   * Several targets when the requests are split between services; none when this version cannot read the route, so that
   * its requests are refused.
   */
  readonly targets: readonly RouteTarget[];
}

/** Result of a search for the route of a request. */
export type HostRouteMatch =
  | { readonly kind: 'found'; readonly route: Route }
  /** The route exists, but this version cannot read it. */
  | { readonly kind: 'unsupported' }
  | { readonly kind: 'unknown' };

/** Port of a `Host` header, which may be empty, and the dot of a fully qualified name before it. */
const PORT_OR_ROOT_PATTERN = /\.?(?::\d*)?$/;

/** Routing table by host name; the longest matching path prefix wins. */
export class HostRouteTable {
  readonly #byHost = new Map<string, HostRoute[]>();

  /** @param routes - Host routes of one bundle. */
  constructor(routes: Iterable<HostRoute>) {
    [...routes].forEach((route) => {
      const host = toHostKey(route.host);
      this.#byHost.set(host, [...(this.#byHost.get(host) ?? []), route]);
    });
    this.#byHost.forEach((list) =>
      list.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length),
    );
  }

  /**
   * Finds the route of a request. When the route has several targets, picks one at random in proportion to the weights.
   * @param host - `Host` header as received; case, port and a dot at the end of the name are ignored.
   * @param target - Path and query as received.
   * @param draw - Returns a random number in [0, 1).
   */
  match(host: string, target: string, draw: () => number): HostRouteMatch {
    const { path } = splitTarget(target);
    const routes = this.#byHost.get(toHostKey(host)) ?? [];
    const found = routes.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    if (found === undefined) {
      return { kind: 'unknown' };
    }
    const route = pickTarget(found.targets, draw);
    return route === undefined ? { kind: 'unsupported' } : { kind: 'found', route };
  }
}

function toHostKey(host: string): string {
  return host.toLowerCase().replace(PORT_OR_ROOT_PATTERN, '');
}

function pickTarget(targets: readonly RouteTarget[], draw: () => number): Route | undefined {
  if (targets.length <= 1) {
    return targets[0]?.route;
  }
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = draw() * total;
  const picked = targets.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return (picked ?? targets.at(-1))?.route;
}
