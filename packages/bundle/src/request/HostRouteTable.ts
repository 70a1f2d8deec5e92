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
  /** At least one target; several when the requests are split between services. */
  readonly targets: readonly RouteTarget[];
}

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
   * @param host - `Host` header as received; case and port are ignored.
   * @param target - Path and query as received.
   * @param draw - Returns a random number in [0, 1).
   * @returns Undefined when no route matches.
   */
  match(host: string, target: string, draw: () => number): Route | undefined {
    const { path } = splitTarget(target);
    const routes = this.#byHost.get(toHostKey(host)) ?? [];
    const found = routes.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    return found === undefined ? undefined : pickTarget(found.targets, draw);
  }
}

function toHostKey(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
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
