import { EventHeap } from '../../support/EventHeap.js';

/** Simulated clock of a session with scheduled events, in order of time and then of scheduling. */
export class EventQueue {
  readonly #heap = new EventHeap();

  #nowMs = 0;

  /** Current time in milliseconds, which is the time of the running event. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Runs a function after a delay in milliseconds. */
  schedule(delayMs: number, run: () => void): void {
    const atMs = this.#nowMs + delayMs;
    this.#heap.schedule(atMs, () => {
      this.#nowMs = atMs;
      run();
    });
  }

  /** Runs all events up to a time in milliseconds, which becomes the current time. */
  runUntil(untilMs: number): void {
    this.#heap.runDue(untilMs);
    this.#nowMs = untilMs;
  }
}
