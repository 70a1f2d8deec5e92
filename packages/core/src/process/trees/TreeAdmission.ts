import type { RandomSource } from '../time/index.js';
import type { ServiceUtilization } from './ServiceUtilization.js';
import type { TreeDemands } from './TreeDemands.js';

/**
 * Target utilization of a service. At 1, running and queued calls together equal the limit, so the queue stays short.
 */
const TARGET_UTILIZATION = 1;

/** Time between two control steps, in milliseconds; less than the duration of a call tree. */
const STEP_MS = 100;

/**
 * Change of the shed level in one step for a deviation of 1, above and below the target, and the largest deviation
 * above it. The deviation is the logarithm of utilization / target, so that half and twice the target have the same
 * weight.
 */
const GAIN = 0.08;
const RECOVERY_GAIN = 0.16;
const MAX_ERROR = 1;

/**
 * Smallest scale of a change. Changes are scaled by the fraction of the class that is still admitted, because the same
 * change is relatively larger for a small fraction.
 */
const MIN_SCALE = 0.15;

/**
 * Below this utilization, the level falls by a fixed amount in each step, so that three shed classes are admitted again
 * within 3 s after an overload.
 */
const IDLE_UTILIZATION = 0.5;
const IDLE_STEP = 0.125;

const NOT_REPORTED = { level: 0, atMs: Number.NEGATIVE_INFINITY };

/** Least important class, which is shed first. */
const LOWEST_CLASS = 3;

/** Fraction of a class that is always admitted, so that a recovery is detected. */
const PROBE_FRACTION = 0.03;

/** Bounds of the time after which a shed request may be retried, in milliseconds; uniformly distributed. */
const RETRY_AFTER_MS = [400, 1_600] as const;

/**
 * Smallest change of a shed level that is logged, in classes, and the shortest time between two lines for a service.
 */
const REPORTED_CHANGE = 0.2;
const REPORT_MS = 1_000;

/** A shed level that has changed since it was last logged, with the values that it depends on. */
export interface ShedLevelChange {
  readonly service: string;
  readonly level: number;
  readonly utilization: number;
  /** Fraction of the calls from this node that the service rejected. */
  readonly rejected: number;
}

/** Whether a request is admitted, or the overloaded service it is refused for and when the caller may retry. */
export type TreeDecision =
  | { readonly admitted: true }
  | { readonly admitted: false; readonly service: string; readonly retryAfterMs: number };

/**
 * Admits or refuses whole call trees at the entry node, which is the node that receives the caller's request. This is
 * for deployments in which a deep service with a large fan-out is the bottleneck. Refusing a call inside a tree wastes
 * all the work above it, so a request is refused before anything has run if a service that its tree calls is
 * overloaded. Every entry node runs the same integral control on the utilization that is reported with answers: each
 * service has a shed level, which rises while its utilization is above the target. Level 1 sheds class 3, level 2 also
 * class 2, apart from a small fraction that is always admitted.
 */
export class TreeAdmission {
  readonly #demands: TreeDemands;

  readonly #utilization: ServiceUtilization;

  readonly #random: RandomSource;

  readonly #levels = new Map<string, number>();

  readonly #reported = new Map<string, { readonly level: number; readonly atMs: number }>();

  #steppedMs = 0;

  /** @param parts - Demand of call trees, utilization of services, and the source of random choices. */
  constructor(parts: {
    demands: TreeDemands;
    utilization: ServiceUtilization;
    random: RandomSource;
  }) {
    this.#demands = parts.demands;
    this.#utilization = parts.utilization;
    this.#random = parts.random;
  }

  /**
   * Decides whether the call tree of a caller's request may begin.
   * @param route - Route of the request.
   * @param priority - Class of the request, 0 to 3.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  decide(route: string, priority: number, nowMs: number): TreeDecision {
    this.advance(nowMs);
    const bottleneck = this.#findBottleneck(route, priority);
    if (bottleneck === undefined || this.#random.next() < bottleneck.fraction) {
      return { admitted: true };
    }
    const [shortestMs, longestMs] = RETRY_AFTER_MS;
    const retryAfterMs = Math.round(shortestMs + (longestMs - shortestMs) * this.#random.next());
    return { admitted: false, service: bottleneck.service, retryAfterMs };
  }

  /**
   * Adjusts the shed levels; called at least every 100 ms.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    if (nowMs - this.#steppedMs < STEP_MS) {
      return;
    }
    this.#steppedMs = nowMs;
    this.#levels.forEach((level, service) => this.#advanceLevel(service, level, nowMs));
  }

  /**
   * Begins to control the shed level of a service.
   * @param service - Name of the service.
   */
  watch(service: string): void {
    if (!this.#levels.has(service)) {
      this.#levels.set(service, 0);
    }
  }

  /**
   * Returns the shed levels that have changed by at least 0.2 classes since they were last returned, at most one a
   * second for each service.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  takeChanges(nowMs: number): readonly ShedLevelChange[] {
    const changed = [...this.#levels].filter(([service, level]) => {
      const { level: before, atMs } = this.#reported.get(service) ?? NOT_REPORTED;
      return Math.abs(level - before) >= REPORTED_CHANGE && nowMs - atMs >= REPORT_MS;
    });
    return changed.map(([service, level]) => {
      this.#reported.set(service, { level, atMs: nowMs });
      const utilization = this.#utilization.read(service, nowMs) ?? 0;
      const rejected = this.#utilization.readRejectedFraction(service, nowMs);
      return { service, level, utilization, rejected };
    });
  }

  /**
   * Describes the shed level of a service and the values that it depends on, for log lines.
   * @param service - Name of the service.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The shed level, the utilization, and the age of its last reading in milliseconds.
   */
  describe(service: string, nowMs: number): Readonly<Record<string, number | undefined>> {
    return {
      shedLevel: this.#levels.get(service) ?? 0,
      utilization: this.#utilization.read(service, nowMs),
      loadAgeMs: this.#utilization.measureAge(service, nowMs),
    };
  }

  /** Returns the shed levels above 0 for the state dump. */
  snapshot(): object {
    return Object.fromEntries([...this.#levels].filter(([, level]) => level > 0).slice(0, 64));
  }

  #advanceLevel(service: string, level: number, nowMs: number): void {
    // Without a recent reading the level falls, so that requests reach the service and bring a new one.
    const utilization = this.#utilization.read(service, nowMs) ?? 0;
    const next = Math.max(0, Math.min(LOWEST_CLASS, level + computeChange(level, utilization)));
    if (next === 0 && utilization === 0) {
      this.#levels.delete(service);
      this.#reported.delete(service);
      return;
    }
    this.#levels.set(service, next);
  }

  /** Finds the service that allows the smallest fraction of the route's requests. */
  #findBottleneck(
    route: string,
    priority: number,
  ): { service: string; fraction: number } | undefined {
    return [...this.#demands.list(route)]
      .filter(([service]) => (this.#levels.get(service) ?? 0) > 0)
      .map(([service, calls]) => {
        const cost = calls / Math.max(calls, this.#demands.readLargestDemand(service));
        return {
          service,
          fraction: computeAdmittedFraction(this.#levels.get(service) ?? 0, priority, cost),
        };
      })
      .reduce<{ service: string; fraction: number } | undefined>(
        (bottleneck, one) =>
          bottleneck === undefined || one.fraction < bottleneck.fraction ? one : bottleneck,
        undefined,
      );
  }
}

/** Computes the change of a shed level in one control step. */
function computeChange(level: number, utilization: number): number {
  if (utilization < IDLE_UTILIZATION) {
    return -IDLE_STEP;
  }
  const error = Math.min(MAX_ERROR, Math.log(utilization / TARGET_UTILIZATION));
  const gain = error < 0 ? RECOVERY_GAIN : GAIN;
  return gain * error * Math.max(MIN_SCALE, 1 - (level % 1));
}

/**
 * Computes the admitted fraction of a route's requests. Within a class, requests are shed in proportion to the calls
 * they make to the service, so that its capacity serves more of them. A class is shed completely before the next more
 * important one.
 * @param level - Shed level of the service.
 * @param priority - Class of the requests.
 * @param cost - Calls of one request to the service, relative to the route that makes most of them; at most 1.
 */
function computeAdmittedFraction(level: number, priority: number, cost: number): number {
  const ownLevel = level - (LOWEST_CLASS - priority);
  const shed = Math.max(ownLevel * cost, ownLevel - 1);
  return Math.max(PROBE_FRACTION, Math.min(1, 1 - shed));
}
