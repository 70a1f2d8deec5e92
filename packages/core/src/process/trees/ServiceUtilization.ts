import * as bounds from '../bounds/index.js';

/**
 * Time constant of the smoothing, in milliseconds. Smoothing is by time and not by number of samples, because a reading
 * passes several nodes on its way up a call tree and an entry node gets few samples of a route.
 */
const SMOOTHING_MS = 120;

/** A reading older than this is ignored, in milliseconds. */
const READING_LIFE_MS = 1_500;

/** Largest number of services with a reading. */
const MAX_SERVICES = 4_096;

/** Time constant of the rejected fraction, in milliseconds; also of its decay while no call is made. */
const REJECTED_MS = 300;

/**
 * Utilization added for a service that rejects every call, in proportion for a part. A service that rejects some calls
 * at random is not full, but a call tree with many calls to it is likely to fail.
 */
const REJECTED_UTILIZATION = 4;

interface Reading {
  utilization: number;
  /** Smoothed fraction of calls that were rejected, last updated at `answeredMs`. */
  rejected: number;
  answeredMs: number;
  recordedMs: number;
}

/**
 * Utilization of each called service: running and queued calls divided by the concurrency limit. More than 1 means that
 * calls are queued.
 */
export class ServiceUtilization {
  readonly #readings = new Map<string, Reading>();

  /**
   * Records a reported utilization.
   * @param service - Name of the service.
   * @param utilization - Running and queued calls divided by the concurrency limit.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  record(service: string, utilization: number, nowMs: number): void {
    const known = this.#readings.get(service);
    if (known === undefined || nowMs - known.recordedMs > READING_LIFE_MS) {
      const reading = { utilization, rejected: 0, answeredMs: nowMs, recordedMs: nowMs };
      bounds.setWithLimit(this.#readings, service, reading, MAX_SERVICES);
      return;
    }
    const weight = computeWeight(nowMs - known.recordedMs, SMOOTHING_MS);
    known.utilization += weight * (utilization - known.utilization);
    known.recordedMs = nowMs;
  }

  /**
   * Returns the smoothed utilization of a service, with an addition for rejected calls.
   * @param service - Name of the service.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Undefined without a recent reading.
   */
  read(service: string, nowMs: number): number | undefined {
    const known = this.#readings.get(service);
    return known === undefined || nowMs - known.recordedMs > READING_LIFE_MS
      ? undefined
      : known.utilization + REJECTED_UTILIZATION * this.readRejectedFraction(service, nowMs);
  }

  /**
   * Computes the age of the last reading of a service, in milliseconds.
   * @param service - Name of the service.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Undefined without a reading.
   */
  measureAge(service: string, nowMs: number): number | undefined {
    const known = this.#readings.get(service);
    return known === undefined ? undefined : nowMs - known.recordedMs;
  }

  /**
   * Returns the smoothed fraction of this node's calls to a service that were rejected. It decays while no call is
   * made: a node that sheds all requests for the service makes no calls to it, and would otherwise never stop shedding.
   * @param service - Name of the service.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  readRejectedFraction(service: string, nowMs: number): number {
    const known = this.#readings.get(service);
    return known === undefined
      ? 0
      : known.rejected * Math.exp(-Math.max(0, nowMs - known.answeredMs) / REJECTED_MS);
  }

  /**
   * Records whether a call that this node sent was rejected because of load. Ignored for a service without a reading.
   * @param service - Called service.
   * @param isRejected - Whether the call was rejected.
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

/** Computes the weight of a new sample in smoothing by time; samples at the same time count as 1 ms apart. */
function computeWeight(elapsedMs: number, timeConstantMs: number): number {
  return 1 - Math.exp(-Math.max(1, elapsedMs) / timeConstantMs);
}
