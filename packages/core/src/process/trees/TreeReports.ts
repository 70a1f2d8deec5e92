import type { ServiceUtilization } from './ServiceUtilization.js';
import type { CallRatios } from './CallRatios.js';
import type { ServiceDemand, TreeDemands } from './TreeDemands.js';

/** Shortest time between two reports on a route to one peer, in milliseconds; less than a control step of the peer. */
const REPORT_MS = 50;

/** Largest number of report times kept, by peer and route; when it is reached, all are dropped and reported again. */
const MAX_REPORTS = 8_192;

/**
 * Creates the reports that tell peers, with answers, the demand of call trees and the utilization of their services.
 */
export class TreeReports {
  readonly #demands: TreeDemands;

  readonly #utilization: ServiceUtilization;

  readonly #ratios: CallRatios;

  readonly #service: string;

  readonly #reportedMs = new Map<string, number>();

  /** @param parts - Demand, utilization and call ratios; `service`: service of this node's backend server. */
  constructor(parts: {
    demands: TreeDemands;
    utilization: ServiceUtilization;
    ratios: CallRatios;
    service: string;
  }) {
    this.#demands = parts.demands;
    this.#utilization = parts.utilization;
    this.#ratios = parts.ratios;
    this.#service = parts.service;
  }

  /**
   * Creates the report that is sent with an answer.
   * @param peer - VM that receives the answer.
   * @param route - Route of the answered request.
   * @param ownUtilization - Utilization of this node's backend server.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Empty if the peer got a report on the route less than 50 ms ago.
   */
  create(
    peer: string,
    route: string,
    ownUtilization: number,
    nowMs: number,
  ): readonly ServiceDemand[] {
    const key = `${peer} ${route}`;
    const reportedMs = this.#reportedMs.get(key);
    if (reportedMs !== undefined && nowMs - reportedMs < REPORT_MS) {
      return [];
    }
    if (this.#reportedMs.size >= MAX_REPORTS) {
      this.#reportedMs.clear();
    }
    this.#reportedMs.set(key, nowMs);
    const calls = this.#demands.computeDemand(this.#service, this.#ratios.list(route));
    return [...calls].map(([service, count]) => ({
      service,
      calls: count,
      utilization:
        service === this.#service ? ownUtilization : (this.#utilization.read(service, nowMs) ?? 0),
    }));
  }
}
