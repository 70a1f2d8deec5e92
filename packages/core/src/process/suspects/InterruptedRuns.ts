/** Time between a broken run and a refused connection that belong to one crash, in milliseconds. */
const CONFIRM_MS = 1_000;

/** Broken runs that are remembered; a backend server has fewer slots. */
const RUNS = 1_024;

interface BrokenRun {
  readonly fingerprint: string;
  readonly atMs: number;
}

/** Runs whose connection broke lately. They become crashes when the backend server is found down a moment later. */
export class InterruptedRuns {
  #runs: readonly BrokenRun[] = [];

  /**
   * Remembers a run.
   * @param fingerprint - Fingerprint of its request.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  add(fingerprint: string, nowMs: number): void {
    this.#runs = [...this.#listRecent(nowMs), { fingerprint, atMs: nowMs }].slice(-RUNS);
  }

  /**
   * Returns the fingerprints of the runs that broke a moment ago and forgets all runs.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  take(nowMs: number): readonly string[] {
    const recent = this.#listRecent(nowMs);
    this.#runs = [];
    return recent.map(({ fingerprint }) => fingerprint);
  }

  #listRecent(nowMs: number): readonly BrokenRun[] {
    return this.#runs.filter(({ atMs }) => nowMs - atMs <= CONFIRM_MS);
  }
}
