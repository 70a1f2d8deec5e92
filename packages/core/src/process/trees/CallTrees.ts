import type { RandomSource } from '../time/index.js';
import { CallRatios } from './CallRatios.js';
import { ServiceUtilization } from './ServiceUtilization.js';
import { TreeAdmission } from './TreeAdmission.js';
import { TreeDemands, type ServiceDemand } from './TreeDemands.js';
import { TreeReports } from './TreeReports.js';

/** Load of a backend server as reported by its node. */
interface ReportedLoad {
  readonly inFlight: number;
  readonly queued: number;
  readonly limit: number;
}

/** What a node knows about call trees: their demand, the utilization of their services, and which may begin. */
export class CallTrees {
  readonly ratios = new CallRatios();

  readonly reports: TreeReports;

  readonly admission: TreeAdmission;

  readonly #demands = new TreeDemands();

  readonly #utilization = new ServiceUtilization();

  /**
   * @param service - Service of this node's backend server.
   * @param random - Source of random choices.
   */
  constructor(service: string, random: RandomSource) {
    const known = { demands: this.#demands, utilization: this.#utilization };
    this.reports = new TreeReports({ ...known, ratios: this.ratios, service });
    this.admission = new TreeAdmission({ ...known, random });
  }

  /**
   * Records an answer and the report that came with it.
   * @param route - Route of the answered request.
   * @param called - Service that answered.
   * @param demands - Report; empty if there was none.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordAnswer(
    route: string,
    called: string,
    demands: readonly ServiceDemand[],
    nowMs: number,
  ): void {
    this.#utilization.recordCall(called, false, nowMs);
    if (demands.length === 0) {
      return;
    }
    this.#demands.record(route, demands);
    demands.forEach(({ service, utilization }) => {
      this.#utilization.record(service, utilization, nowMs);
      this.admission.watch(service);
    });
  }

  /**
   * Records a refusal.
   * @param service - Service that refused the call.
   * @param load - Load that the VM reported.
   * @param isFull - Whether the call was refused because of load.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordRefusal(
    service: string,
    load: ReportedLoad | undefined,
    isFull: boolean,
    nowMs: number,
  ): void {
    const utilization = load === undefined ? undefined : computeUtilization(load);
    if (utilization !== undefined) {
      this.#utilization.record(service, utilization, nowMs);
      this.admission.watch(service);
    }
    this.#utilization.recordCall(service, isFull, nowMs);
  }
}

/**
 * Computes the utilization of a backend server: running and queued calls divided by the concurrency limit.
 * @param load - Load of the backend server.
 */
export function computeUtilization({ inFlight, queued, limit }: ReportedLoad): number {
  return (inFlight + queued) / Math.max(1, limit);
}
