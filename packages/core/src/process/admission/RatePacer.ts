/** Time whose calls may start at once, in seconds, and the largest number of them. */
const BURST_S = 0.1;
const MAX_BURST = 5;

/** Highest rate that counts as a limit, in calls a second; no backend server takes more. */
const MAX_RATE = 1_000_000;

/**
 * Paces the calls to a backend server that names a rate limit, with a token bucket. All calls to the backend server pass
 * its node, so the limit needs no division into shares.
 */
export class RatePacer {
  #perSecond: number | undefined;

  #tokens = 1;

  #refilledMs = 0;

  /** Whether the backend server has said since the start of the process whether it has a limit. */
  #isConfirmed = false;

  /** Rate limit in calls a second; undefined if there is none. */
  get perSecond(): number | undefined {
    return this.#perSecond;
  }

  /**
   * Sets the limit as the backend server names it.
   * @param perSecond - Calls a second; undefined if it names none.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  configure(perSecond: number | undefined, nowMs: number): void {
    this.#isConfirmed = true;
    this.#change(perSecond, nowMs);
  }

  /**
   * Adopts the limit that a peer has heard, until the backend server itself says whether it has one.
   * @param perSecond - Calls a second.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  adopt(perSecond: number, nowMs: number): void {
    if (!this.#isConfirmed && isRateLimit(perSecond)) {
      this.#change(perSecond, nowMs);
    }
  }

  /**
   * Returns whether a call may start.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  canTake(nowMs: number): boolean {
    this.#refill(nowMs);
    return this.#perSecond === undefined || this.#tokens >= 1;
  }

  /** Takes the token of a call that starts. */
  take(): void {
    this.#tokens = Math.max(0, this.#tokens - 1);
  }

  /**
   * Computes how many calls run at once at the limit, at least 1 (Little's law).
   * @param meanMs - Mean run time, in milliseconds.
   */
  computeConcurrency(meanMs: number): number {
    return this.#perSecond === undefined
      ? Infinity
      : Math.max(1, Math.floor((this.#perSecond * meanMs) / 1_000));
  }

  #change(perSecond: number | undefined, nowMs: number): void {
    this.#refill(nowMs);
    this.#perSecond = perSecond;
  }

  #refill(nowMs: number): void {
    const rate = this.#perSecond ?? 0;
    const capacity = Math.min(MAX_BURST, Math.max(1, rate * BURST_S));
    const refill = (Math.max(0, nowMs - this.#refilledMs) * rate) / 1_000;
    this.#tokens = Math.min(capacity, this.#tokens + refill);
    this.#refilledMs = nowMs;
  }
}

/**
 * Returns whether a number can be a rate limit.
 * @param perSecond - Calls a second.
 */
export function isRateLimit(perSecond: number): boolean {
  return Number.isFinite(perSecond) && perSecond > 0 && perSecond <= MAX_RATE;
}
