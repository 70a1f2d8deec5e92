import { EventHeap } from '../../support/EventHeap.js';

/** Events of a session on a fake clock, in the order of time and, at one time, of scheduling. */
export class EventQueue {
  readonly #heap = new EventHeap();

  #nowMs = 0;

  /** Time of the event that runs, in milliseconds. */
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

  /** Runs the events up to a time in milliseconds. */
  runUntil(untilMs: number): void {
    this.#heap.runDue(untilMs);
    this.#nowMs = untilMs;
  }
}
