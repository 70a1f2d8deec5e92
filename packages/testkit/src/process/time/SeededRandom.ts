/** Prime modulus 2^31 - 1 and multiplier of the minimal standard generator (Park and Miller, revised). */
const MODULUS = 2_147_483_647;
const MULTIPLIER = 48_271;

/** Deterministic random numbers, so that a run with one seed repeats its arrivals and service times. */
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
   * Picks from an exponential distribution.
   * @param mean - Mean of the distribution, in the unit of the result.
   */
  pickExponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }

  /**
   * Picks one element.
   * @param elements - At least one element.
   */
  pick<T>(elements: readonly T[]): T {
    return elements[Math.floor(this.next() * elements.length)];
  }
}
