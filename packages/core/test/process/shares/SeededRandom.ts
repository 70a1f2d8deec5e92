import type * as time from '../../../src/process/time/index.js';

const MULTIPLIER = 48_271;

const MODULUS = 2 ** 31 - 1;

/** Reproducible random source: Lehmer generator, the "minimal standard" of Park and Miller. */
export class SeededRandom implements time.RandomSource {
  #state: number;

  constructor(seed: number) {
    this.#state = (Math.abs(seed) % (MODULUS - 1)) + 1;
    // Small seeds yield small first numbers, which are skipped.
    this.next();
    this.next();
  }

  next(): number {
    this.#state = (this.#state * MULTIPLIER) % MODULUS;
    return this.#state / MODULUS;
  }

  /** Picks a uniformly distributed number in [low, high). */
  pickBetween(low: number, high: number): number {
    return low + this.next() * (high - low);
  }

  /** Picks an element of a list with equal probability. */
  pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.next() * items.length)];
  }

  /** Returns true with the given probability. */
  has(probability: number): boolean {
    return this.next() < probability;
  }
}
