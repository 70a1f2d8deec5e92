import type { RandomSource } from '../../../src/process/time/index.js';

const MODULUS = 2_147_483_647;
const MULTIPLIER = 48_271;

/** Reproducible random source: Lehmer generator, the "minimal standard" of Park and Miller. */
export class SeededRandom implements RandomSource {
  #state: number;

  constructor(seed: number) {
    this.#state = (Math.abs(Math.trunc(seed)) % (MODULUS - 1)) + 1;
  }

  next(): number {
    this.#state = (this.#state * MULTIPLIER) % MODULUS;
    return this.#state / MODULUS;
  }
}
