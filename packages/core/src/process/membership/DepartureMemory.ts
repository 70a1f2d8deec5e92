import * as bounds from '../bounds/index.js';

/** Maximum number of entries whose departure is remembered. */
const MAX_DEPARTURES = 4_096;

/**
 * Time after the source has continued from an older copy for which starts that had gone are kept out, in milliseconds. The
 * source drops the entry of a backend server that is silent for 4.5 s.
 */
const HOLD_MS = 6_000;

/** How far the departure of a start of a backend server has come. */
type Departure = 'leaving' | 'gone';

/**
 * Remembers which starts of backend servers are leaving or gone, by the key of their entry. A start never returns from
 * leaving. One that had gone returns only when its entry is written again: a source that continues from an older copy
 * lists it as it was before.
 */
export class DepartureMemory {
  readonly #leaving = new Map<string, string>();

  readonly #gone = new Map<string, string>();

  #holdUntilMs = Number.NEGATIVE_INFINITY;

  /**
   * Records the departure of a start.
   * @param key - Key of the entry.
   * @param incarnation - Start of the backend server.
   * @param departure - Whether it announced that it leaves, or has no entry any more.
   */
  record(key: string, incarnation: string, departure: Departure): void {
    const known = departure === 'gone' ? this.#gone : this.#leaving;
    bounds.setWithLimit(known, key, incarnation, MAX_DEPARTURES);
  }

  /**
   * Records that an entry was written again, so that its backend server is present.
   * @param key - Key of the entry.
   */
  recordWritten(key: string): void {
    this.#gone.delete(key);
  }

  /**
   * Records that the source has continued from an older copy.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordRestored(nowMs: number): void {
    this.#holdUntilMs = nowMs + HOLD_MS;
  }

  /**
   * Returns whether a start is leaving.
   * @param key - Key of the entry.
   * @param incarnation - Start of the backend server.
   */
  isLeaving(key: string, incarnation: string): boolean {
    return this.#leaving.get(key) === incarnation;
  }

  /**
   * Returns whether a start that is listed had gone before the source continued from an older copy.
   * @param key - Key of the entry.
   * @param incarnation - Start of the backend server.
   */
  isHeld(key: string, incarnation: string): boolean {
    return this.#holdUntilMs > Number.NEGATIVE_INFINITY && this.#gone.get(key) === incarnation;
  }

  /**
   * Ends the hold when its time is over.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Whether the hold has ended by this call.
   */
  advance(nowMs: number): boolean {
    if (nowMs < this.#holdUntilMs) {
      return false;
    }
    const hasEnded = this.#holdUntilMs > Number.NEGATIVE_INFINITY;
    this.#holdUntilMs = Number.NEGATIVE_INFINITY;
    return hasEnded;
  }
}
