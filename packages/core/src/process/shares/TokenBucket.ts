import { REFILL_FACTOR, ROUNDING_TOLERANCE } from './shareLimits.js';

/** Token bucket of one workspace in a pool; its rate and burst are scaled by the fraction that the pool has. */
export class TokenBucket {
  /** Number of tokens as of the last `advance`. */
  level = 0;

  /** Fraction of the burst that is subleased. */
  subleased = 0;

  /** Latest end of all subleases granted so far, for the lender. */
  subleasedUntilMs = 0;

  #rate = 0;

  #burst = 0;

  #updatedMs: number;

  /** @param nowMs - Monotonic time, in milliseconds. */
  constructor(nowMs: number) {
    this.#updatedMs = nowMs;
  }

  /** Burst of the workspace in the whole fleet, in calls. */
  get burst(): number {
    return this.#burst;
  }

  /**
   * Applies the limits of a bundle. Call `advance` before and after.
   * @param rate - Calls per second in the whole fleet.
   * @param burst - Burst in the whole fleet, in calls.
   */
  configure(rate: number, burst: number): void {
    this.#rate = rate;
    this.#burst = burst;
  }

  /**
   * Adds the refill since the last call and caps the tokens at the capacity that is not subleased.
   * @param fraction - Fraction of rate and burst that the pool has.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(fraction: number, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedMs);
    const refill = (fraction * this.#rate * REFILL_FACTOR * elapsedMs) / 1_000;
    const capacity = Math.max(0, fraction - this.subleased) * this.#burst;
    this.level = Math.min(capacity, this.level + refill);
    this.#updatedMs = Math.max(this.#updatedMs, nowMs);
  }

  /**
   * Adds tokens that arrive together with capacity; tokens that exceed this capacity are dropped.
   * @param level - Number of tokens.
   * @param capacity - Fraction of the burst that arrives with them.
   */
  add(level: number, capacity: number): void {
    this.level += Math.max(0, Math.min(level, capacity * this.#burst));
  }

  /**
   * Takes the tokens that leave the pool together with capacity.
   * @param capacity - Fraction of the burst that leaves the pool.
   * @returns The number of tokens; at most what fits the capacity.
   */
  take(capacity: number): number {
    const level = Math.min(this.level, capacity * this.#burst);
    this.level -= level;
    return level;
  }

  /**
   * Consumes tokens.
   * @param tokens - Number of tokens; at most `level`.
   */
  consume(tokens: number): void {
    this.level = Math.max(0, this.level - tokens);
  }

  /**
   * Removes tokens for a sublease and sets aside the capacity that covers them.
   * @param tokens - Number of tokens; at most `level`.
   * @param untilMs - Latest end of this sublease and all earlier ones, for the lender.
   * @returns The fraction of the burst that is set aside.
   */
  grantSublease(tokens: number, untilMs: number): number {
    const capacity = tokens / this.#burst;
    this.level -= tokens;
    this.subleased += capacity;
    this.subleasedUntilMs = untilMs;
    return capacity;
  }

  /**
   * Makes capacity available again that was set aside for a sublease.
   * @param capacity - Fraction of the burst.
   */
  releaseSublease(capacity: number): void {
    this.subleased = this.subleased - capacity > ROUNDING_TOLERANCE ? this.subleased - capacity : 0;
  }

  /** Removes all tokens and records of subleased capacity. */
  clear(): void {
    this.level = 0;
    this.subleased = 0;
    this.subleasedUntilMs = 0;
  }
}
