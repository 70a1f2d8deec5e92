import { REFILL_FACTOR, ROUNDING_TOLERANCE } from './shareLimits.js';

/** Tokens of one workspace in a pool, filled for the part of rate and burst that the pool has. */
export class TokenBucket {
  /** Tokens at the time of the last `advance`. */
  level = 0;

  /** Fraction of the burst that is subleased. */
  subleased = 0;

  /** Latest end of any sublease granted so far, as the lender counts it. */
  subleasedUntilMs = 0;

  #rate = 0;

  #burst = 0;

  #updatedMs: number;

  /** @param nowMs - Monotonic time, in milliseconds. */
  constructor(nowMs: number) {
    this.#updatedMs = nowMs;
  }

  /** Calls that may come at once in the whole fleet. */
  get burst(): number {
    return this.#burst;
  }

  /**
   * Takes the settings of a bundle. The bucket has to be advanced before and after.
   * @param rate - Calls a second, in the whole fleet.
   * @param burst - Calls that may come at once, in the whole fleet.
   */
  configure(rate: number, burst: number): void {
    this.#rate = rate;
    this.#burst = burst;
  }

  /**
   * Fills the bucket up to a time and caps it by its capacity.
   * @param fraction - Part of rate and burst that the pool has.
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
   * Adds tokens that come with capacity.
   * @param level - Tokens.
   * @param capacity - Fraction of the burst that covers them.
   */
  add(level: number, capacity: number): void {
    this.level += Math.max(0, Math.min(level, capacity * this.#burst));
  }

  /**
   * Takes tokens together with capacity that leaves the pool.
   * @param capacity - Fraction of the burst.
   * @returns The tokens.
   */
  take(capacity: number): number {
    const level = Math.min(this.level, capacity * this.#burst);
    this.level -= level;
    return level;
  }

  /**
   * Consumes tokens.
   * @param tokens - Tokens, at most the level.
   */
  consume(tokens: number): void {
    this.level = Math.max(0, this.level - tokens);
  }

  /**
   * Sets capacity aside for a sublease, with the tokens that it covers.
   * @param tokens - Tokens, at most the level.
   * @param untilMs - End of the sublease as the lender counts it.
   * @returns The fraction of the burst set aside.
   */
  grantSublease(tokens: number, untilMs: number): number {
    const capacity = tokens / this.#burst;
    this.level -= tokens;
    this.subleased += capacity;
    this.subleasedUntilMs = untilMs;
    return capacity;
  }

  /**
   * Takes back capacity that was set aside.
   * @param capacity - Fraction of the burst.
   */
  releaseSublease(capacity: number): void {
    this.subleased = this.subleased - capacity > ROUNDING_TOLERANCE ? this.subleased - capacity : 0;
  }

  /** Forgets the tokens and what is subleased. */
  clear(): void {
    this.level = 0;
    this.subleased = 0;
    this.subleasedUntilMs = 0;
  }
}
