import type { AdmissionItem } from './AdmissionItem.js';

/** A call that runs on the backend server. */
export interface RunningCall {
  readonly item: AdmissionItem;
  readonly startedMs: number;
  /** Whether the call is being cancelled; it keeps its slot until it ends. */
  isEnding: boolean;
}

/** Preemptions a millisecond for each declared slot: one a second. A higher rate would waste work already done. */
const PREEMPTIONS_PER_SLOT_MS = 1 / 1000;

/** Preemptions that may happen at once, for each declared slot. */
const PREEMPTION_BURST_PER_SLOT = 0.1;

/** The calls that run on the backend server. Selects the calls to preempt and limits their rate with a token bucket. */
export class RunningCalls {
  readonly #calls = new Map<string, RunningCall>();

  #tokens = 1;

  #refilledMs = 0;

  /** Number of running calls. */
  get size(): number {
    return this.#calls.size;
  }

  /** Counts the calls that are being cancelled, whose slots will be free soon. */
  countEnding(): number {
    return [...this.#calls.values()].filter((call) => call.isEnding).length;
  }

  /** Returns whether a suspect runs; it always runs alone. */
  hasSuspect(): boolean {
    return this.#calls.size === 1 && [...this.#calls.values()].some((call) => call.item.suspect);
  }

  /**
   * Records the start of a call.
   * @param item - The call.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  begin(item: AdmissionItem, nowMs: number): void {
    this.#calls.set(item.callId, { item, startedMs: nowMs, isEnding: false });
  }

  /**
   * Removes a call that has ended.
   * @param callId - The call.
   * @returns The call, or undefined if it was not running.
   */
  end(callId: string): RunningCall | undefined {
    const call = this.#calls.get(callId);
    this.#calls.delete(callId);
    return call;
  }

  /**
   * Records that the caller cancelled a call. A call that is not repeatable runs to its end, so it is not marked as
   * ending.
   * @param callId - The call.
   * @returns False if the call is not running.
   */
  markEnding(callId: string): boolean {
    const call = this.#calls.get(callId);
    if (call !== undefined) {
      call.isEnding = call.item.repeatable;
    }
    return call !== undefined;
  }

  /**
   * Selects a running call to preempt for a queued one: a repeatable call of a less important class, the least
   * important class first and in it the call that started last. Takes a token of the rate limit.
   * @param priority - Class of the queued call.
   * @param slots - Declared slots.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Undefined if there is no such call or the rate limit is reached.
   */
  selectVictim(priority: number, slots: number, nowMs: number): RunningCall | undefined {
    const refill = (nowMs - this.#refilledMs) * slots * PREEMPTIONS_PER_SLOT_MS;
    this.#tokens = Math.min(Math.max(1, slots * PREEMPTION_BURST_PER_SLOT), this.#tokens + refill);
    this.#refilledMs = nowMs;
    if (this.#tokens < 1) {
      return undefined;
    }
    const victim = [...this.#calls.values()]
      .filter(
        ({ item, isEnding: ending }) => item.repeatable && !ending && item.priority > priority,
      )
      .reduce<RunningCall | undefined>(pickVictim, undefined);
    this.#tokens -= victim === undefined ? 0 : 1;
    return victim;
  }

  /** Returns the counts of running calls by class, for the state dump. */
  snapshot(): object {
    const calls = [...this.#calls.values()];
    return {
      byClass: [0, 1, 2, 3].map(
        (priority) => calls.filter(({ item }) => item.priority === priority).length,
      ),
      ending: this.countEnding(),
      suspect: this.hasSuspect(),
    };
  }
}

function pickVictim(best: RunningCall | undefined, call: RunningCall): RunningCall {
  if (best === undefined || call.item.priority > best.item.priority) {
    return call;
  }
  const isYounger = call.item.priority === best.item.priority && call.startedMs > best.startedMs;
  return isYounger ? call : best;
}
