import { ISOLATING_POLICY, type SuspectPolicy } from './SuspectPolicy.js';

/** What is known about a fingerprint. */
export type SuspectState = 'clear' | 'suspect' | 'blocked';

/** Fingerprints that are remembered at most. */
const CAPACITY = 4096;

/** Entries shown in a snapshot. */
const SNAPSHOT_ENTRIES = 64;

/**
 * Reports of one VM within this time are about one crash: every call in flight is reported, and equal calls have the
 * same fingerprint. A backend server hardly restarts and crashes again faster.
 */
const SAME_CRASH_MS = 300;

interface Entry {
  readonly state: 'suspect' | 'blocked';
  readonly crashes: number;
  /** VM and time of the last crash that counted. */
  readonly vm: string;
  readonly crashedMs: number;
  readonly untilMs: number;
}

/**
 * Remembers which requests ran on a backend server when it died. A fingerprint is a suspect after the first crash and
 * blocked after the second, or after as many as the policy says. One poison request takes at most as many VMs as attempts
 * of it begin before its last crash is known where they run: 2 if every report arrives before the next attempt.
 */
export class SuspectTable {
  readonly policy: SuspectPolicy;

  #blockMs: number;

  /** In the order of the last crash, oldest first. */
  readonly #entries = new Map<string, Entry>();

  /**
   * @param options - `blockMs`: how long a fingerprint is blocked, and how long a suspect is remembered; `policy`:
   * isolating by default.
   */
  constructor(options: { blockMs: number; policy?: SuspectPolicy }) {
    this.policy = options.policy ?? ISOLATING_POLICY;
    this.#blockMs = options.blockMs;
  }

  /**
   * Takes the limits of a new bundle; entries that exist keep their end.
   * @param limits - `blockMs`: as in the constructor, in milliseconds.
   */
  configure(limits: { blockMs: number }): void {
    this.#blockMs = limits.blockMs;
  }

  /**
   * Records a crash of a backend server of the service. Further reports of the same crash change nothing.
   * @param fingerprints - Fingerprints of the calls that ran on it.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param vm - VM of the backend server; crashes of different VMs are told apart by it.
   */
  recordCrash(fingerprints: readonly string[], nowMs: number, vm = ''): void {
    new Set(fingerprints).forEach((fingerprint) => {
      if (this.#isSameCrash(fingerprint, nowMs, vm)) {
        return;
      }
      const isKnown = this.findState(fingerprint, nowMs) !== 'clear';
      const crashes = 1 + (isKnown ? (this.#entries.get(fingerprint)?.crashes ?? 0) : 0);
      const state = crashes >= this.policy.crashLimit ? 'blocked' : 'suspect';
      this.#entries.delete(fingerprint);
      const untilMs = nowMs + this.#blockMs;
      this.#entries.set(fingerprint, { state, crashes, vm, crashedMs: nowMs, untilMs });
    });
    this.#dropOldest();
  }

  /**
   * Finds what is known about a fingerprint.
   * @param fingerprint - Route, method, target and body digest.
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

  #isSameCrash(fingerprint: string, nowMs: number, vm: string): boolean {
    const entry = this.#entries.get(fingerprint);
    return entry !== undefined && entry.vm === vm && nowMs - entry.crashedMs < SAME_CRASH_MS;
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
