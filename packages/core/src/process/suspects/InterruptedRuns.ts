/** Longest time between an interrupted run and a refused connection that count as one crash, in milliseconds. */
const CONFIRM_MS = 1_000;

/** Largest number of interrupted runs kept; a backend server has fewer slots. */
const MAX_RUNS = 1_024;

interface InterruptedRun {
  readonly fingerprint: string;
  readonly atMs: number;
}

/**
 * Runs whose connection broke recently. They count as crashes if the backend server is found to be down shortly after.
 */
export class InterruptedRuns {
  #runs: readonly InterruptedRun[] = [];

  /**
   * Records a run whose connection broke.
   * @param fingerprint - Fingerprint of the request.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  add(fingerprint: string, nowMs: number): void {
    this.#runs = [...this.#listRecent(nowMs), { fingerprint, atMs: nowMs }].slice(-MAX_RUNS);
  }

  /**
   * Returns the fingerprints of the runs interrupted within the last second, and clears all runs.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  take(nowMs: number): readonly string[] {
    const recent = this.#listRecent(nowMs);
    this.#runs = [];
    return recent.map(({ fingerprint }) => fingerprint);
  }

  #listRecent(nowMs: number): readonly InterruptedRun[] {
    return this.#runs.filter(({ atMs }) => nowMs - atMs <= CONFIRM_MS);
  }
}
