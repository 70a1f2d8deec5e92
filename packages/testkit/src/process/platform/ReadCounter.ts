/** Window over which the rate of calls is averaged, so that one burst does not look like a sustained rate. */
const WINDOW_MS = 5_000;

/**
 * Counts reads in the way in which the platform limits them: each call is one read, and each waiting watch is one read
 * per second.
 */
export class ReadCounter {
  #calls = 0;

  #waiting = 0;

  #recentMs: number[] = [];

  recordCall(nowMs: number): void {
    this.#calls += 1;
    this.#recentMs.push(nowMs);
    this.#dropOld(nowMs);
  }

  /** Records the start of a watch. The returned function records its end. */
  recordWatch(): () => void {
    this.#waiting += 1;
    return () => {
      this.#waiting -= 1;
    };
  }

  /** Returns the number of all calls, the number of waiting watches, and the reads per second over the last 5 s. */
  snapshot(nowMs: number): { calls: number; waitingWatches: number; readsPerSecond: number } {
    this.#dropOld(nowMs);
    const callsPerSecond = (this.#recentMs.length * 1_000) / WINDOW_MS;
    return {
      calls: this.#calls,
      waitingWatches: this.#waiting,
      readsPerSecond: callsPerSecond + this.#waiting,
    };
  }

  #dropOld(nowMs: number): void {
    const first = this.#recentMs.findIndex((atMs) => atMs > nowMs - WINDOW_MS);
    this.#recentMs = first === -1 ? [] : this.#recentMs.slice(first);
  }
}
