import type { RandomSource } from '../process/time/index.js';

/** Shortest and longest `retry-after`, in milliseconds. */
const SHORTEST_MS = 50;
const LONGEST_MS = 30_000;

/**
 * Computes a `retry-after` in milliseconds, with a jitter of half to one and a half times the base, so that refused
 * callers do not all retry at the same time.
 * @param baseMs - Expected time until there is capacity, in milliseconds.
 * @param random - Source of the jitter.
 */
export function computeRetryAfter(baseMs: number, random: RandomSource): number {
  const jittered = baseMs * (0.5 + random.next());
  return Math.round(Math.min(LONGEST_MS, Math.max(SHORTEST_MS, jittered)));
}
