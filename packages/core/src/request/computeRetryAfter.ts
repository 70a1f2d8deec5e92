import type { RandomSource } from '../process/time/index.js';

/** Shortest and longest time that a refusal tells a caller to stay away, in milliseconds. */
const SHORTEST_MS = 50;
const LONGEST_MS = 30_000;

/**
 * Spreads the time to come back over half to one and a half times its base, so that refused callers do not return at once.
 * @param baseMs - Expected time until there is room, in milliseconds.
 * @param random - Source of the jitter.
 */
export function computeRetryAfter(baseMs: number, random: RandomSource): number {
  const jittered = baseMs * (0.5 + random.next());
  return Math.round(Math.min(LONGEST_MS, Math.max(SHORTEST_MS, jittered)));
}
