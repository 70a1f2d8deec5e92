/** Weight of a new sample. */
const SAMPLE_WEIGHT = 0.05;

/** Without samples for this long, the estimate halves, so that a past slowdown cannot refuse all calls for ever. */
const HALF_LIFE_MS = 1000;

/** Distinct costs that are remembered; routes with the same cost share an estimate. */
const COSTS = 32;

/** Estimate of how long a call runs on the backend server, by the cost of its route. */
export class ServiceTimeEstimate {
  readonly #byCost = new Map<number, number>();

  #meanMs: number | undefined;

  #meanCost = 1;

  #updatedMs = 0;

  /**
   * Records a run that was answered.
   * @param cost - Cost of the route.
   * @param latencyMs - Time that the call ran, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  record(cost: number, latencyMs: number, nowMs: number): void {
    const known = this.#byCost.get(cost) ?? latencyMs;
    if (this.#byCost.size >= COSTS && !this.#byCost.has(cost)) {
      this.#byCost.clear();
    }
    this.#byCost.set(cost, known + SAMPLE_WEIGHT * (latencyMs - known));
    this.#meanMs = smooth(this.#meanMs ?? latencyMs, latencyMs);
    this.#meanCost = smooth(this.#meanCost, cost);
    this.#updatedMs = nowMs;
  }

  /**
   * Reads the time that a call of a cost takes, in milliseconds; 0 before the first sample.
   * @param cost - Cost of the route.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  readMs(cost: number, nowMs: number): number {
    const known = this.#byCost.get(cost) ?? ((this.#meanMs ?? 0) * cost) / this.#meanCost;
    return known * this.#computeTrust(nowMs);
  }

  /**
   * Reads the mean time of a call in milliseconds; 0 before the first sample.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  readMeanMs(nowMs: number): number {
    return (this.#meanMs ?? 0) * this.#computeTrust(nowMs);
  }

  /**
   * Reads the mean time of a call of cost 1 in milliseconds; 0 before the first sample.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  readMsPerCost(nowMs: number): number {
    return this.readMeanMs(nowMs) / this.#meanCost;
  }

  #computeTrust(nowMs: number): number {
    const silentMs = nowMs - this.#updatedMs - HALF_LIFE_MS;
    return silentMs <= 0 ? 1 : 0.5 ** (silentMs / HALF_LIFE_MS);
  }
}

function smooth(value: number, sample: number): number {
  return value + SAMPLE_WEIGHT * (sample - value);
}
