import type { ServiceUtilization } from './ServiceUtilization.js';
import type { CallRatios } from './CallRatios.js';
import type { ServiceDemand, TreeDemands } from './TreeDemands.js';

/** Time between two reports on one route to one peer, in milliseconds; below the step of the peer's control. */
const REPORT_MS = 50;

/** Peers and routes that are remembered; when there are more, all are told anew. */
const REPORTS = 8_192;

/** Tells peers with the answers what whole trees need and how full the services below are. */
export class TreeReports {
  readonly #profiles: TreeDemands;

  readonly #utilization: ServiceUtilization;

  readonly #ratios: CallRatios;

  readonly #service: string;

  readonly #toldMs = new Map<string, number>();

  /** @param parts - What is known of trees and services; `service` is the one of the own backend server. */
  constructor(parts: {
    profiles: TreeDemands;
    utilization: ServiceUtilization;
    ratios: CallRatios;
    service: string;
  }) {
    this.#profiles = parts.profiles;
    this.#utilization = parts.utilization;
    this.#ratios = parts.ratios;
    this.#service = parts.service;
  }

  /**
   * Creates the report that goes with an answer.
   * @param peer - VM that gets the answer.
   * @param route - Route of the answered request.
   * @param ownUtilization - How full the own backend server is.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Nothing when the peer was told a moment ago.
   */
  create(
    peer: string,
    route: string,
    ownUtilization: number,
    nowMs: number,
  ): readonly ServiceDemand[] {
    const key = `${peer} ${route}`;
    const toldMs = this.#toldMs.get(key);
    if (toldMs !== undefined && nowMs - toldMs < REPORT_MS) {
      return [];
    }
    if (this.#toldMs.size >= REPORTS) {
      this.#toldMs.clear();
    }
    this.#toldMs.set(key, nowMs);
    const calls = this.#profiles.computeDemand(this.#service, this.#ratios.list(route));
    return [...calls].map(([service, count]) => ({
      service,
      calls: count,
      utilization:
        service === this.#service ? ownUtilization : (this.#utilization.read(service, nowMs) ?? 0),
    }));
  }
}
