import type { AdmissionItem } from './AdmissionItem.js';

/** One call on the backend server. */
export interface RunningCall {
  readonly item: AdmissionItem;
  readonly startedMs: number;
  /** Its cancellation was decided or asked for; it holds its slot until it ends. */
  isEnding: boolean;
}

/** Preemptions a second, as a part of the declared slots. A higher rate would waste the work already done. */
const PREEMPTIONS_PER_SLOT_MS = 1 / 1000;

/** Preemptions that may come at once, as a part of the declared slots. */
const BURST_PER_SLOT = 0.1;

/** The calls that hold a slot, and the choice of those that are preempted. */
export class RunningCalls {
  readonly #calls = new Map<string, RunningCall>();

  #tokens = 1;

  #refilledMs = 0;

  /** Number of calls that hold a slot. */
  get size(): number {
    return this.#calls.size;
  }

  /** Number of calls whose slot will be free soon. */
  countEnding(): number {
    return [...this.#calls.values()].filter((call) => call.isEnding).length;
  }

  /** Tells whether a suspect runs. */
  hasSuspect(): boolean {
    return this.#calls.size === 1 && [...this.#calls.values()].some((call) => call.item.suspect);
  }

  /**
   * Begins a run.
   * @param item - The call.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  begin(item: AdmissionItem, nowMs: number): void {
    this.#calls.set(item.callId, { item, startedMs: nowMs, isEnding: false });
  }

  /**
   * Ends a run.
   * @param callId - The call.
   */
  end(callId: string): RunningCall | undefined {
    const call = this.#calls.get(callId);
    this.#calls.delete(callId);
    return call;
  }

  /**
   * Marks a call as cancelled. One that may not be repeated runs on, so that its slot is not free soon.
   * @param callId - The call.
   * @returns False if it does not run.
   */
  markEnding(callId: string): boolean {
    const call = this.#calls.get(callId);
    if (call !== undefined) {
      call.isEnding = call.item.repeatable;
    }
    return call !== undefined;
  }

  /**
   * Selects a call to preempt for a waiting one: repeatable, of a lower class, the lowest class and the youngest first.
   * The rate is bounded.
   * @param priority - Class of the waiting call.
   * @param slots - Declared slots.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  selectVictim(priority: number, slots: number, nowMs: number): RunningCall | undefined {
    const refill = (nowMs - this.#refilledMs) * slots * PREEMPTIONS_PER_SLOT_MS;
    this.#tokens = Math.min(Math.max(1, slots * BURST_PER_SLOT), this.#tokens + refill);
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

  /** Counts the calls by class. */
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
