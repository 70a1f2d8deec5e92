/** Tolerance for the rounding of sums of fractions; far below one request. */
const TOLERANCE = 1e-6;

/**
 * Checks that no time window of any length contains more than rate x length + burst grants. It replays the grants
 * against a token bucket that starts full: the bucket goes below zero at a grant exactly if some window that ends there
 * contains too many, so one pass covers all windows.
 * @param timesMs - Times of the grants in milliseconds, in ascending order.
 * @param rate - Calls per second.
 * @param burst - Burst, in calls.
 * @returns Number of grants by which the worst window exceeds the bound; 0 if none does.
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
