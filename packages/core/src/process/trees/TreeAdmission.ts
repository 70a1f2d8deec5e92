import type { RandomSource } from '../time/index.js';
import type { ServiceUtilization } from './ServiceUtilization.js';
import type { TreeProfiles } from './TreeProfiles.js';

/** Utilization that the entry nodes steer a service to; the rest covers random arrivals without a long queue. */
const TARGET = 0.9;

/** Time between two steps of the control, in milliseconds; below the time of a whole tree. */
const STEP_MS = 100;

/** Change of the shed level in one step at a utilization of twice the target, and the largest deviation that counts. */
const GAIN = 0.12;
const LARGEST_ERROR = 1;

/** Lowest and highest class that can be shed; class 0 holds calls of trees that already run. */
const LOWEST_CLASS = 3;
const HIGHEST_SHED_CLASS = 1;

/** Part of a class that is always admitted, so that its recovery is seen. */
const PROBE_PART = 0.03;

/** Bounds of the time after which a shed request may come back, in milliseconds; spread evenly between them. */
const RETRY_AFTER_MS = [400, 1_600] as const;

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
  readonly #profiles: TreeProfiles;

  readonly #utilization: ServiceUtilization;

  readonly #random: RandomSource;

  readonly #levels = new Map<string, number>();

  #steppedMs = 0;

  /** @param parts - What is known of trees and services, and the source of choices. */
  constructor(parts: {
    profiles: TreeProfiles;
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
   * @param priority - Its class; 0 is always admitted.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  decide(route: string, priority: number, nowMs: number): TreeDecision {
    this.advance(nowMs);
    const worst = this.#findWorst(route);
    if (priority < HIGHEST_SHED_CLASS || worst === undefined) {
      return { admitted: true };
    }
    const part = computeAdmittedPart(worst.level, priority);
    if (part >= 1 || this.#random.next() < part) {
      return { admitted: true };
    }
    const [shortestMs, longestMs] = RETRY_AFTER_MS;
    const retryAfterMs = Math.round(shortestMs + (longestMs - shortestMs) * this.#random.next());
    return { admitted: false, service: worst.service, retryAfterMs };
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

  /** Shows the levels that shed anything, for the state dump. */
  snapshot(): object {
    return Object.fromEntries([...this.#levels].filter(([, level]) => level > 0).slice(0, 64));
  }

  #step(service: string, level: number, nowMs: number): void {
    // A service that nothing is heard of is found again by letting more requests through.
    const utilization = this.#utilization.read(service, nowMs) ?? 0;
    const error = Math.min(LARGEST_ERROR, (utilization - TARGET) / TARGET);
    const next = Math.max(0, Math.min(LOWEST_CLASS, level + GAIN * error));
    if (next === 0 && utilization === 0) {
      this.#levels.delete(service);
      return;
    }
    this.#levels.set(service, next);
  }

  #findWorst(route: string): { service: string; level: number } | undefined {
    return [...this.#profiles.list(route).keys()]
      .map((service) => ({ service, level: this.#levels.get(service) ?? 0 }))
      .reduce<{ service: string; level: number } | undefined>(
        (worst, one) => (worst === undefined || one.level > worst.level ? one : worst),
        undefined,
      );
  }
}

function computeAdmittedPart(level: number, priority: number): number {
  const shed = level - (LOWEST_CLASS - priority);
  return Math.max(PROBE_PART, Math.min(1, 1 - shed));
}
