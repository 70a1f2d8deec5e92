import type { RandomSource } from '../src/process/time/index.js';

/** Multiplier and modulus of the MINSTD generator; the product fits a double exactly. */
const MULTIPLIER = 48_271;
const MODULUS = 2 ** 31 - 1;

/** Number of values skipped at the beginning, because those of similar seeds are similar. */
const SKIPPED = 8;

/**
 * Creates a seeded random source (MINSTD), so that a run can be repeated.
 * @param seed - Integer from 1 to 2^31 - 2.
 */
export function createRandom(seed: number): RandomSource {
  let state = seed % MODULUS;
  const source = {
    next(): number {
      state = (state * MULTIPLIER) % MODULUS;
      return (state - 1) / (MODULUS - 1);
    },
  };
  for (let count = 0; count < SKIPPED; count++) {
    source.next();
  }
  return source;
}
