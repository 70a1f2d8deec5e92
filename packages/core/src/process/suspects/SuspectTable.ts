import { ISOLATING_POLICY, type SuspectPolicy } from './SuspectPolicy.js';

/**
 * State of a fingerprint. `suspect`: it was running during a crash; `blocked`: during as many crashes as the policy
 * sets.
 */
export type SuspectState = 'clear' | 'suspect' | 'blocked';

/** Largest number of fingerprints kept; the oldest suspects are evicted first. */
const MAX_FINGERPRINTS = 4096;

/** Largest number of entries in the state dump. */
const SNAPSHOT_ENTRIES = 64;

/**
 * Reports from one VM within this time count as one crash: every call in flight is reported, and equal calls have the
 * same fingerprint. A backend server is unlikely to restart and crash again in less time.
 */
const SAME_CRASH_MS = 300;

interface Entry {
  readonly state: 'suspect' | 'blocked';
  readonly crashes: number;
  /** VM and time of the last counted crash. */
  readonly vm: string;
  readonly crashedMs: number;
  readonly untilMs: number;
}

/**
 * Records which requests were running on a backend server when it crashed. A fingerprint is a suspect after the first
 * crash and blocked after the number of crashes that the policy sets, 2 by default. A poison request crashes as many
 * VMs as attempts of it begin before the report of the last of these crashes arrives: 2 if every report arrives before
 * the next attempt.
 */
export class SuspectTable {
  readonly policy: SuspectPolicy;

  #blockMs: number;

  /** Oldest last crash first. */
  readonly #entries = new Map<string, Entry>();

  /**
   * @param options - `blockMs`: time for which a fingerprint stays blocked or suspect after its last crash, in
   * milliseconds; `policy`: `ISOLATING_POLICY` by default.
   */
  constructor(options: { blockMs: number; policy?: SuspectPolicy }) {
    this.policy = options.policy ?? ISOLATING_POLICY;
    this.#blockMs = options.blockMs;
  }

  /**
   * Applies the limits of a new bundle. Existing entries keep their expiry.
   * @param limits - `blockMs`: as in the constructor, in milliseconds.
   */
  configure(limits: { blockMs: number }): void {
    this.#blockMs = limits.blockMs;
  }

  /**
   * Records a crash of a backend server. Further reports of the same crash are ignored.
   * @param fingerprints - Fingerprints of the calls that were running on it.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param vm - VM of the backend server, by which crashes on different VMs are distinguished.
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
   * Finds the state of a fingerprint.
   * @param fingerprint - Route, method, target and body digest.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  findState(fingerprint: string, nowMs: number): SuspectState {
    const entry = this.#entries.get(fingerprint);
    return entry === undefined || entry.untilMs <= nowMs ? 'clear' : entry.state;
  }

  /**
   * Clears a suspect after a run of it was answered and thus did not crash the backend server. With the isolating
   * policy, suspects run alone. A blocked fingerprint stays blocked.
   * @param fingerprint - Fingerprint of the call that ran.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordSurvived(fingerprint: string, nowMs: number): void {
    if (this.findState(fingerprint, nowMs) === 'suspect') {
      this.#entries.delete(fingerprint);
    }
  }

  /** Returns the counts and the newest entries for the state dump; `nowMs` is monotonic. */
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
    const excess = this.#entries.size - MAX_FINGERPRINTS;
    if (excess <= 0) {
      return;
    }
    const suspects = [...this.#entries].filter(([, entry]) => entry.state === 'suspect');
    suspects.slice(0, excess).forEach(([fingerprint]) => this.#entries.delete(fingerprint));
    [...this.#entries.keys()]
      .slice(0, Math.max(0, this.#entries.size - MAX_FINGERPRINTS))
      .forEach((fingerprint) => this.#entries.delete(fingerprint));
  }
}
