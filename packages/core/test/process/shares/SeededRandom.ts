import type * as time from '../../../src/process/time/index.js';

const MULTIPLIER = 48_271;

const MODULUS = 2 ** 31 - 1;

/** Repeatable random source (Lehmer generator, "minimal standard" of Park and Miller). */
export class SeededRandom implements time.RandomSource {
  #state: number;

  constructor(seed: number) {
    this.#state = (Math.abs(seed) % (MODULUS - 1)) + 1;
    // Small seeds would begin with small numbers.
    this.next();
    this.next();
  }

  next(): number {
    this.#state = (this.#state * MULTIPLIER) % MODULUS;
    return this.#state / MODULUS;
  }

  /** Uniform number in [low, high). */
  pickBetween(low: number, high: number): number {
    return low + this.next() * (high - low);
  }

  /** Uniform element of a list. */
  pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.next() * items.length)];
  }

  /** True with the given probability. */
  has(probability: number): boolean {
    return this.next() < probability;
  }
}
