import * as bounds from '../bounds/index.js';

/**
 * Time constant of the smoothing, in milliseconds. It follows time and not the number of samples, because a reading passes
 * through several nodes on its way up a tree, and an entry node gets few samples of a route.
 */
const SMOOTHING_MS = 120;

/** A service from which nothing was heard for this time counts as idle, in milliseconds. */
const LIFE_MS = 1_500;

/** Services of which the utilization is kept. */
const SERVICES = 4_096;

/** Time constant of the part of calls that are turned away, in milliseconds; also of its decay without any call. */
const REJECTED_MS = 300;

/**
 * Utilization that counts for a service that turns every call away. A service that rejects part of its calls at random is
 * not full, but a tree with many calls to it hardly ends well.
 */
const REJECTED_UTILIZATION = 4;

interface Reading {
  utilization: number;
  /** Part of the calls that were turned away lately, and when it was last updated. */
  rejected: number;
  answeredMs: number;
  recordedMs: number;
}

/** How full each service is: calls that run or wait, relative to what it runs at once. More than 1 means a queue. */
export class ServiceUtilization {
  readonly #readings = new Map<string, Reading>();

  /**
   * Records a sample.
   * @param service - Name of the service.
   * @param utilization - Calls that run or wait over the limit of calls.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  record(service: string, utilization: number, nowMs: number): void {
    const known = this.#readings.get(service);
    if (known === undefined || nowMs - known.recordedMs > LIFE_MS) {
      const reading = { utilization, rejected: 0, answeredMs: nowMs, recordedMs: nowMs };
      bounds.setWithLimit(this.#readings, service, reading, SERVICES);
      return;
    }
    const weight = computeWeight(nowMs - known.recordedMs, SMOOTHING_MS);
    known.utilization += weight * (utilization - known.utilization);
    known.recordedMs = nowMs;
  }

  /**
   * Reads the utilization of a service.
   * @param service - Name of the service.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Undefined when nothing was heard lately.
   */
  read(service: string, nowMs: number): number | undefined {
    const known = this.#readings.get(service);
    return known === undefined || nowMs - known.recordedMs > LIFE_MS
      ? undefined
      : known.utilization + REJECTED_UTILIZATION * this.readRejected(service, nowMs);
  }

  /**
   * Measures the time since the load of a service was last heard of, in milliseconds.
   * @param service - Name of the service.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Undefined when it was never heard of.
   */
  measureAge(service: string, nowMs: number): number | undefined {
    const known = this.#readings.get(service);
    return known === undefined ? undefined : nowMs - known.recordedMs;
  }

  /**
   * Reads the part of the own calls to a service that was turned away lately. It decays without calls: a node that
   * sheds all requests that lead to the service makes none, and would shed for ever.
   * @param service - Name of the service.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  readRejected(service: string, nowMs: number): number {
    const known = this.#readings.get(service);
    return known === undefined
      ? 0
      : known.rejected * Math.exp(-Math.max(0, nowMs - known.answeredMs) / REJECTED_MS);
  }

  /**
   * Records whether a call that this node sent was turned away for want of room.
   * @param service - Service of the call.
   * @param isRejected - Whether it was turned away.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordCall(service: string, isRejected: boolean, nowMs: number): void {
    const known = this.#readings.get(service);
    if (known === undefined) {
      return;
    }
    const weight = computeWeight(nowMs - known.answeredMs, REJECTED_MS);
    known.rejected += weight * (Number(isRejected) - known.rejected);
    known.answeredMs = nowMs;
  }
}

/** Computes the weight of a new sample in exponential smoothing by time; samples of one moment count too. */
function computeWeight(elapsedMs: number, timeConstantMs: number): number {
  return 1 - Math.exp(-Math.max(1, elapsedMs) / timeConstantMs);
}
