/** What is known about a fingerprint. */
export type SuspectState = 'clear' | 'suspect' | 'blocked';

/** Fingerprints that are remembered at most. */
const CAPACITY = 4096;

/** Entries shown in a snapshot. */
const SNAPSHOT_ENTRIES = 64;

interface Entry {
  readonly state: 'suspect' | 'blocked';
  readonly untilMs: number;
}

/**
 * Remembers which requests ran on a backend server when it died. A fingerprint is a suspect after the first crash and
 * blocked after the second.
 */
export class SuspectTable {
  readonly #blockMs: number;

  /** In the order of the last crash, oldest first. */
  readonly #entries = new Map<string, Entry>();

  /** @param options - `blockMs`: how long a fingerprint is blocked, and how long a suspect is remembered. */
  constructor(options: { blockMs: number }) {
    this.#blockMs = options.blockMs;
  }

  /**
   * Records a crash of a backend server of the service.
   * @param fingerprints - Fingerprints of the calls that ran on it.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordCrash(fingerprints: readonly string[], nowMs: number): void {
    new Set(fingerprints).forEach((fingerprint) => {
      const state = this.findState(fingerprint, nowMs) === 'clear' ? 'suspect' : 'blocked';
      this.#entries.delete(fingerprint);
      this.#entries.set(fingerprint, { state, untilMs: nowMs + this.#blockMs });
    });
    this.#dropOldest();
  }

  /**
   * Finds what is known about a fingerprint.
   * @param fingerprint - Once id, or route and body digest.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  findState(fingerprint: string, nowMs: number): SuspectState {
    const entry = this.#entries.get(fingerprint);
    return entry === undefined || entry.untilMs <= nowMs ? 'clear' : entry.state;
  }

  /**
   * Clears a suspect that ran alone without a crash. A block stays.
   * @param fingerprint - Fingerprint of the call that ran alone.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordSurvived(fingerprint: string, nowMs: number): void {
    if (this.findState(fingerprint, nowMs) === 'suspect') {
      this.#entries.delete(fingerprint);
    }
  }

  /** Shows the counts and the newest entries for the state dump. */
  snapshot(nowMs: number): object {
    const live = [...this.#entries].filter(([, entry]) => entry.untilMs > nowMs);
    return {
      suspects: live.filter(([, entry]) => entry.state === 'suspect').length,
      blocked: live.filter(([, entry]) => entry.state === 'blocked').length,
      newest: live.slice(-SNAPSHOT_ENTRIES).map(([fingerprint, { state, untilMs }]) => ({
        fingerprint,
        state,
        leftMs: untilMs - nowMs,
      })),
    };
  }

  #dropOldest(): void {
    const excess = this.#entries.size - CAPACITY;
    if (excess <= 0) {
      return;
    }
    const suspects = [...this.#entries].filter(([, entry]) => entry.state === 'suspect');
    suspects.slice(0, excess).forEach(([fingerprint]) => this.#entries.delete(fingerprint));
    [...this.#entries.keys()]
      .slice(0, Math.max(0, this.#entries.size - CAPACITY))
      .forEach((fingerprint) => this.#entries.delete(fingerprint));
  }
}
