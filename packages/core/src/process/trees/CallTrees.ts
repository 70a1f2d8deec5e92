import type { RandomSource } from '../time/index.js';
import { CallRatios } from './CallRatios.js';
import { ServiceUtilization } from './ServiceUtilization.js';
import { TreeAdmission } from './TreeAdmission.js';
import { TreeDemands, type ServiceDemand } from './TreeDemands.js';
import { TreeReports } from './TreeReports.js';

/** Load of a backend server as its node tells it. */
interface ToldLoad {
  readonly inFlight: number;
  readonly queued: number;
  readonly limit: number;
}

/** What a node knows of call trees: their demand, the services that they need, and whether new ones may begin. */
export class CallTrees {
  readonly ratios = new CallRatios();

  readonly reports: TreeReports;

  readonly admission: TreeAdmission;

  readonly #profiles = new TreeDemands();

  readonly #utilization = new ServiceUtilization();

  /**
   * @param service - Service of the own backend server.
   * @param random - Source of choices.
   */
  constructor(service: string, random: RandomSource) {
    const known = { profiles: this.#profiles, utilization: this.#utilization };
    this.reports = new TreeReports({ ...known, ratios: this.ratios, service });
    this.admission = new TreeAdmission({ ...known, random });
  }

  /**
   * Learns from an answer.
   * @param route - Route of the answered request.
   * @param called - Service that answered.
   * @param demands - Report that came with it; may be empty.
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
    this.#profiles.record(route, demands);
    demands.forEach(({ service, utilization }) => {
      this.#utilization.record(service, utilization, nowMs);
      this.admission.watch(service);
    });
  }

  /**
   * Learns from a refusal.
   * @param service - Service that turned a call away.
   * @param load - Load of the VM.
   * @param isFull - The call was turned away for want of room.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordRefusal(service: string, load: ToldLoad | undefined, isFull: boolean, nowMs: number): void {
    const told = load === undefined ? undefined : computeUtilization(load);
    if (told !== undefined) {
      this.#utilization.record(service, told, nowMs);
      this.admission.watch(service);
    }
    this.#utilization.recordCall(service, isFull, nowMs);
  }
}

/**
 * Computes how full a backend server is.
 * @param load - Its load.
 */
export function computeUtilization({ inFlight, queued, limit }: ToldLoad): number {
  return (inFlight + queued) / Math.max(1, limit);
}
