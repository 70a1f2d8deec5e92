import * as bounds from '../bounds/index.js';

/** What one request of a route needs at one service, its own run and all calls below it included. */
export interface ServiceDemand {
  readonly service: string;
  /** Calls of the service for one request. */
  readonly calls: number;
  /** Calls that run or wait there, over what it runs at once. */
  readonly utilization: number;
}

/** Weight of a new profile in what is known of a route. */
const SAMPLE_WEIGHT = 0.1;

/** What is kept of the largest demand at each record. */
const LARGEST_KEPT = 0.999;

/** Routes of which profiles are kept. */
const ROUTES = 4_096;

/** Services of one profile; those with the fewest calls are left out. */
const SERVICES = 16;

/** Fewer calls than this for one request do not count; they come from the learning, not from the tree. */
const SMALLEST_CALLS = 0.05;

/** Demand of whole call trees by route, learned from the answers of each route. */
export class TreeProfiles {
  readonly #routes = new Map<string, Map<string, number>>();

  readonly #largest = new Map<string, number>();

  /**
   * Learns from an answer.
   * @param route - Route of the answered request.
   * @param demands - Demand that came with the answer.
   */
  record(route: string, demands: readonly ServiceDemand[]): void {
    const known = this.#routes.get(route) ?? new Map<string, number>();
    const told = new Map(demands.map(({ service, calls }) => [service, calls]));
    new Set([...known.keys(), ...told.keys()]).forEach((service) => {
      const before = known.get(service) ?? told.get(service) ?? 0;
      const calls = before + SAMPLE_WEIGHT * ((told.get(service) ?? 0) - before);
      known.set(service, calls);
      if (calls < SMALLEST_CALLS) {
        known.delete(service);
      }
    });
    bounds.setWithLimit(this.#routes, route, known, ROUTES);
    known.forEach((calls, service) => this.#recordLargest(service, calls));
  }

  /**
   * Lists the services that a request of a route needs, and how many calls of each.
   * @param route - Name of the route.
   */
  list(route: string): ReadonlyMap<string, number> {
    return this.#routes.get(route) ?? new Map<string, number>();
  }

  /**
   * Reads the most calls of a service that a request of any known route needs.
   * @param service - Name of the service.
   */
  readLargest(service: string): number {
    return this.#largest.get(service) ?? 0;
  }

  /**
   * Computes the demand of a route that runs on the own backend server from the calls that its runs make.
   * @param service - Service of the own backend server.
   * @param calls - Calls of one run by called route.
   */
  combine(service: string, calls: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
    const sum = new Map([[service, 1]]);
    calls.forEach((ratio, called) => {
      this.list(called).forEach((below, name) =>
        sum.set(name, (sum.get(name) ?? 0) + ratio * below),
      );
    });
    const largest = [...sum]
      .filter(([, count]) => count >= SMALLEST_CALLS)
      .sort(([, left], [, right]) => right - left);
    return new Map(largest.slice(0, SERVICES));
  }

  /** The largest demand is forgotten slowly, since the route that had it may be gone. */
  #recordLargest(service: string, calls: number): void {
    const before = this.#largest.get(service) ?? 0;
    this.#largest.set(service, Math.max(calls, before * LARGEST_KEPT));
  }
}
