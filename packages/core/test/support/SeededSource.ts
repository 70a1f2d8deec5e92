import type { RandomSource } from '../../src/process/time/index.js';

/** A linear congruential generator with the constants of Numerical Recipes, for repeatable schedules. */
export class SeededSource implements RandomSource {
  #state: number;

  /** @param seed - Whole number. */
  constructor(seed: number) {
    this.#state = seed % 2 ** 32;
  }

  next(): number {
    this.#state = (1_664_525 * this.#state + 1_013_904_223) % 2 ** 32;
    return this.#state / 2 ** 32;
  }
}
