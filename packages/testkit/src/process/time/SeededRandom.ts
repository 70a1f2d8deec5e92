/** Prime modulus 2^31 - 1 of the minimal standard generator of Park and Miller, with its revised multiplier below. */
const MODULUS = 2_147_483_647;
const MULTIPLIER = 48_271;

/** Deterministic random number generator: runs with the same seed have the same arrivals and service times. */
export class SeededRandom {
  #state: number;

  /** @param seed - Any integer. */
  constructor(seed: number) {
    this.#state = (Math.abs(Math.trunc(seed)) % (MODULUS - 1)) + 1;
    this.next();
    this.next();
  }

  /** Returns a uniform number in [0, 1). */
  next(): number {
    this.#state = (this.#state * MULTIPLIER) % MODULUS;
    return (this.#state - 1) / (MODULUS - 1);
  }

  /**
   * Picks a number from an exponential distribution.
   * @param mean - Mean of the distribution, in the unit of the result.
   */
  pickExponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }

  /**
   * Picks one element with equal probability.
   * @param elements - Must not be empty.
   */
  pick<T>(elements: readonly T[]): T {
    return elements[Math.floor(this.next() * elements.length)];
  }
}
