import * as bounds from '../bounds/index.js';

/** Load that one request of a route puts on one service, by its own run and all calls below it in the call tree. */
export interface ServiceDemand {
  readonly service: string;
  /** Calls to the service for one request. */
  readonly calls: number;
  /** Utilization of the service: running and queued calls divided by the concurrency limit. */
  readonly utilization: number;
}

/** EWMA weight of a new report in the demand of a route. */
const SAMPLE_WEIGHT = 0.1;

/** Factor by which the largest demand decays at each record. */
const LARGEST_DECAY = 0.999;

/** Largest number of routes whose demand is kept. */
const MAX_ROUTES = 4_096;

/** Largest number of services for one route; those with the fewest calls are left out. */
const MAX_SERVICES = 16;

/** Fewer calls than this for one request are ignored; they are estimation errors and not part of the tree. */
const SMALLEST_CALLS = 0.05;

/** Calls that the whole call tree of a request makes to each service, by route, learned from answers. */
export class TreeDemands {
  readonly #routes = new Map<string, Map<string, number>>();

  readonly #largest = new Map<string, number>();

  /**
   * Records the demand reported with an answer.
   * @param route - Route of the answered request.
   * @param demands - Reported demand; a service that is missing counts as 0 calls.
   */
  record(route: string, demands: readonly ServiceDemand[]): void {
    const known = this.#routes.get(route) ?? new Map<string, number>();
    const reported = new Map(demands.map(({ service, calls }) => [service, calls]));
    new Set([...known.keys(), ...reported.keys()]).forEach((service) => {
      const before = known.get(service) ?? reported.get(service) ?? 0;
      const calls = before + SAMPLE_WEIGHT * ((reported.get(service) ?? 0) - before);
      known.set(service, calls);
      if (calls < SMALLEST_CALLS) {
        known.delete(service);
      }
    });
    bounds.setWithLimit(this.#routes, route, known, MAX_ROUTES);
    known.forEach((calls, service) => this.#recordLargest(service, calls));
  }

  /**
   * Lists the calls of one request to each service of its call tree.
   * @param route - Name of the route.
   */
  list(route: string): ReadonlyMap<string, number> {
    return this.#routes.get(route) ?? new Map<string, number>();
  }

  /**
   * Returns the largest number of calls to a service by one request of any known route; 0 if there is none.
   * @param service - Name of the service.
   */
  readLargestDemand(service: string): number {
    return this.#largest.get(service) ?? 0;
  }

  /**
   * Computes the demand of a route of this node's backend server from the calls that one run makes.
   * @param service - Service of this node's backend server.
   * @param calls - Calls of one run, by called route.
   * @returns Calls to each service, the own run included.
   */
  computeDemand(service: string, calls: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
    const sum = new Map([[service, 1]]);
    calls.forEach((ratio, called) => {
      this.list(called).forEach((below, name) =>
        sum.set(name, (sum.get(name) ?? 0) + ratio * below),
      );
    });
    const largest = [...sum]
      .filter(([, count]) => count >= SMALLEST_CALLS)
      .sort(([, left], [, right]) => right - left);
    return new Map(largest.slice(0, MAX_SERVICES));
  }

  /** Records the largest demand, which decays slowly because the route that had it may no longer exist. */
  #recordLargest(service: string, calls: number): void {
    const before = this.#largest.get(service) ?? 0;
    this.#largest.set(service, Math.max(calls, before * LARGEST_DECAY));
  }
}
