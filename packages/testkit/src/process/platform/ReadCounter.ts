/** Calls are averaged over this time, so that one burst does not look like a lasting rate. */
const WINDOW_MS = 5_000;

/** Counts reads as the platform's limit does: every call, and every watch for as long as it waits. */
export class ReadCounter {
  #calls = 0;

  #waiting = 0;

  #recentMs: number[] = [];

  recordCall(nowMs: number): void {
    this.#calls += 1;
    this.#recentMs.push(nowMs);
    this.#dropOld(nowMs);
  }

  /** Records the begin of a watch; the returned function records its end. */
  recordWatch(): () => void {
    this.#waiting += 1;
    return () => {
      this.#waiting -= 1;
    };
  }

  /** Shows all calls, the watches that wait now, and both as a rate over the last 5 s. */
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
