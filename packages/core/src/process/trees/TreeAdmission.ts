import type { RandomSource } from '../time/index.js';
import type { ServiceUtilization } from './ServiceUtilization.js';
import type { TreeDemands } from './TreeDemands.js';

/** Utilization that the entry nodes steer a service to; the rest covers random arrivals without a long queue. */
const TARGET = 1;

/** Time between two steps of the control, in milliseconds; below the time of a whole tree. */
const STEP_MS = 100;

/**
 * Change of the shed level in one step for a deviation of 1, above and below the target. The deviation is the logarithm of
 * the utilization over the target, so that half and twice the target weigh the same.
 */
const GAIN = 0.08;
const RECOVERY_GAIN = 0.16;
const LARGEST_ERROR = 1;

/**
 * The change is scaled by the part of the class that is still admitted, because a small part changes relatively more;
 * this is the smallest scale.
 */
const SMALLEST_SCALE = 0.15;

/**
 * Below this utilization, the level falls by this much in one step whatever is admitted, so that three shed classes are
 * back within 3 s of the end of an overload.
 */
const IDLE_UTILIZATION = 0.5;
const IDLE_STEP = 0.125;

const NOT_REPORTED = { level: 0, atMs: Number.NEGATIVE_INFINITY };

/** Lowest class, the first that is shed. */
const LOWEST_CLASS = 3;

/** Part of a class that is always admitted, so that its recovery is seen. */
const PROBE_PART = 0.03;

/** Bounds of the time after which a shed request may come back, in milliseconds; spread evenly between them. */
const RETRY_AFTER_MS = [400, 1_600] as const;

/** Change of a shed level that is worth a log line, in classes, and the shortest time between two lines of a service. */
const REPORTED_CHANGE = 0.2;
const REPORT_MS = 1_000;

/** A shed level that has changed since it was last reported, with what it follows. */
export interface ShedLevelChange {
  readonly service: string;
  readonly level: number;
  readonly utilization: number;
  /** Part of the calls from this node that the service turned away. */
  readonly rejected: number;
}

/** Decision on one request. */
export type TreeDecision =
  | { readonly admitted: true }
  | { readonly admitted: false; readonly service: string; readonly retryAfterMs: number };

/**
 * Admits whole call trees at their first arrival, for the load at which a deep service with a large fan-out is the
 * narrow one. Refusing a call inside a tree wastes all the work above it; here a request is refused before anything ran,
 * if a service that its tree needs is overloaded. Every entry node runs the same integral control on the utilization
 * that comes back with answers: a shed level for each service rises while the service is fuller than the target. Level 1
 * sheds the whole lowest class, 2 the class above too.
 */
export class TreeAdmission {
  readonly #profiles: TreeDemands;

  readonly #utilization: ServiceUtilization;

  readonly #random: RandomSource;

  readonly #levels = new Map<string, number>();

  readonly #reported = new Map<string, { readonly level: number; readonly atMs: number }>();

  #steppedMs = 0;

  /** @param parts - What is known of trees and services, and the source of choices. */
  constructor(parts: {
    profiles: TreeDemands;
    utilization: ServiceUtilization;
    random: RandomSource;
  }) {
    this.#profiles = parts.profiles;
    this.#utilization = parts.utilization;
    this.#random = parts.random;
  }

  /**
   * Decides whether a caller's request may begin.
   * @param route - Route of the request.
   * @param priority - Its class, 0 to 3.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  decide(route: string, priority: number, nowMs: number): TreeDecision {
    this.advance(nowMs);
    const narrowest = this.#findNarrowest(route, priority);
    if (narrowest === undefined || this.#random.next() < narrowest.part) {
      return { admitted: true };
    }
    const [shortestMs, longestMs] = RETRY_AFTER_MS;
    const retryAfterMs = Math.round(shortestMs + (longestMs - shortestMs) * this.#random.next());
    return { admitted: false, service: narrowest.service, retryAfterMs };
  }

  /**
   * Moves the shed levels; to be called at least every 100 ms.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    if (nowMs - this.#steppedMs < STEP_MS) {
      return;
    }
    this.#steppedMs = nowMs;
    this.#levels.forEach((level, service) => this.#step(service, level, nowMs));
  }

  /**
   * Begins to steer a service.
   * @param service - Name of the service.
   */
  watch(service: string): void {
    if (!this.#levels.has(service)) {
      this.#levels.set(service, 0);
    }
  }

  /**
   * Takes the shed levels that changed by a fifth of a class or more, at most one a second for each service.
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
   * Describes what is shed for a service and what that follows, for log lines.
   * @param service - Name of the service.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The shed level, the utilization, and the time since it was last heard, in milliseconds.
   */
  describe(service: string, nowMs: number): Readonly<Record<string, number | undefined>> {
    return {
      shedLevel: this.#levels.get(service) ?? 0,
      utilization: this.#utilization.read(service, nowMs),
      loadAgeMs: this.#utilization.measureAge(service, nowMs),
    };
  }

  /** Shows the levels that shed anything, for the state dump. */
  snapshot(): object {
    return Object.fromEntries([...this.#levels].filter(([, level]) => level > 0).slice(0, 64));
  }

  #step(service: string, level: number, nowMs: number): void {
    // A service that nothing is heard of is found again by letting more requests through.
    const utilization = this.#utilization.read(service, nowMs) ?? 0;
    const next = Math.max(0, Math.min(LOWEST_CLASS, level + computeChange(level, utilization)));
    if (next === 0 && utilization === 0) {
      this.#levels.delete(service);
      this.#reported.delete(service);
      return;
    }
    this.#levels.set(service, next);
  }

  /** Finds the service that admits the smallest part of the route's requests. */
  #findNarrowest(route: string, priority: number): { service: string; part: number } | undefined {
    return [...this.#profiles.list(route)]
      .filter(([service]) => (this.#levels.get(service) ?? 0) > 0)
      .map(([service, calls]) => {
        const cost = calls / Math.max(calls, this.#profiles.readLargestDemand(service));
        return {
          service,
          part: computeAdmittedPart(this.#levels.get(service) ?? 0, priority, cost),
        };
      })
      .reduce<{ service: string; part: number } | undefined>(
        (narrowest, one) =>
          narrowest === undefined || one.part < narrowest.part ? one : narrowest,
        undefined,
      );
  }
}

/** Computes the change of a shed level in one step. */
function computeChange(level: number, utilization: number): number {
  if (utilization < IDLE_UTILIZATION) {
    return -IDLE_STEP;
  }
  const error = Math.min(LARGEST_ERROR, Math.log(utilization / TARGET));
  const gain = error < 0 ? RECOVERY_GAIN : GAIN;
  return gain * error * Math.max(SMALLEST_SCALE, 1 - (level % 1));
}

/**
 * Computes which part of a route's requests is admitted. Within a class, requests are shed in proportion to what they
 * need at the service, so that the same room serves more of them. A class is shed whole before the one above it.
 * @param level - Shed level of the service.
 * @param priority - Class of the requests.
 * @param cost - What one request needs there, relative to the route that needs most, at most 1.
 */
function computeAdmittedPart(level: number, priority: number, cost: number): number {
  const ownLevel = level - (LOWEST_CLASS - priority);
  const shed = Math.max(ownLevel * cost, ownLevel - 1);
  return Math.max(PROBE_PART, Math.min(1, 1 - shed));
}
