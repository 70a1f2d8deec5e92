/** Rounding of sums of fractions; far below one request. */
const TOLERANCE = 1e-6;

/**
 * Checks that no window of any length holds more than rate x length + burst grants. A token bucket that starts full
 * runs empty at a grant exactly when some window that ends there holds too many, so one pass covers all pairs of times.
 * @param timesMs - Times of the grants, in order.
 * @param rate - Calls a second.
 * @param burst - Calls at once.
 * @returns By how many grants the worst window exceeds the bound; 0 when none does.
 */
export function findOverrun(timesMs: readonly number[], rate: number, burst: number): number {
  let level = burst;
  let lastMs = timesMs[0] ?? 0;
  let worst = 0;
  timesMs.forEach((timeMs) => {
    level = Math.min(burst, level + ((timeMs - lastMs) * rate) / 1_000) - 1;
    lastMs = timeMs;
    worst = Math.max(worst, -level);
  });
  return worst > TOLERANCE ? worst : 0;
}
