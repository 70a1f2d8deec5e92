/** EWMA weight of a new sample. */
const SAMPLE_WEIGHT = 0.05;

/**
 * After this time without samples, the estimate begins to decay with this half-life. Otherwise a past slowdown could
 * make the queue refuse every call, and no new sample would correct the estimate.
 */
const HALF_LIFE_MS = 1000;

/** Largest number of costs with an estimate of their own; routes of the same cost share one. */
const MAX_COSTS = 32;

/** Estimates how long a call runs on the backend server, by the cost of its route. */
export class ServiceTimeEstimate {
  readonly #byCost = new Map<number, number>();

  #meanMs: number | undefined;

  #meanCost = 1;

  #updatedMs = 0;

  /**
   * Records an answered call.
   * @param cost - Cost of the route.
   * @param latencyMs - Time that the call ran, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  record(cost: number, latencyMs: number, nowMs: number): void {
    const known = this.#byCost.get(cost) ?? latencyMs;
    if (this.#byCost.size >= MAX_COSTS && !this.#byCost.has(cost)) {
      this.#byCost.clear();
    }
    this.#byCost.set(cost, known + SAMPLE_WEIGHT * (latencyMs - known));
    this.#meanMs = computeSmoothed(this.#meanMs ?? latencyMs, latencyMs);
    this.#meanCost = computeSmoothed(this.#meanCost, cost);
    this.#updatedMs = nowMs;
  }

  /**
   * Returns the expected run time of a call of the given cost, in milliseconds; 0 before the first sample.
   * @param cost - Cost of the route.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  readMs(cost: number, nowMs: number): number {
    const known = this.#byCost.get(cost) ?? ((this.#meanMs ?? 0) * cost) / this.#meanCost;
    return known * this.#computeDecay(nowMs);
  }

  /**
   * Returns the mean run time of all calls, in milliseconds; 0 before the first sample.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  readMeanMs(nowMs: number): number {
    return (this.#meanMs ?? 0) * this.#computeDecay(nowMs);
  }

  /**
   * Returns the mean run time of a call of cost 1, in milliseconds; 0 before the first sample.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  readMsPerCost(nowMs: number): number {
    return this.readMeanMs(nowMs) / this.#meanCost;
  }

  #computeDecay(nowMs: number): number {
    const silentMs = nowMs - this.#updatedMs - HALF_LIFE_MS;
    return silentMs <= 0 ? 1 : 0.5 ** (silentMs / HALF_LIFE_MS);
  }
}

function computeSmoothed(value: number, sample: number): number {
  return value + SAMPLE_WEIGHT * (sample - value);
}
