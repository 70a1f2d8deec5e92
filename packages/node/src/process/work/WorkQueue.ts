import type { Log } from '../log/index.js';

/**
 * Longest time for which new work is handled before the sockets are read again, in milliseconds. Cancellations, answers
 * and the ends of connections wait at most that long.
 */
const TURN_MS = 10;

/** Piece of new work; `waitedMs` is the time since it was added, in milliseconds. */
export type WorkTask = (waitedMs: number) => void;

/** Adds a piece of new work, such as a request or a call, to the work queue of the process. */
export type AddWork = (task: WorkTask) => void;

/** Options of a work queue; `now` returns the monotonic time in milliseconds. */
export interface WorkQueueOptions {
  readonly now: () => number;
  readonly log: Log;
}

interface Entry {
  readonly task: WorkTask;
  readonly addedMs: number;
}

/**
 * Handles new work in the order of arrival, after the sockets have been read completely and once more. A process that is
 * late reads a request, the end of its connection and cancellations in successive reads, so that by then it knows which
 * work nobody waits for. A task decides itself whether its work is still wanted.
 */
export class WorkQueue {
  readonly #options: WorkQueueOptions;

  /** Work that was added since the last turn. */
  #added: Entry[] = [];

  /** Work that may be handled, from `#position` on. */
  #ready: Entry[] = [];

  #position = 0;

  #isScheduled = false;

  #failures = 0;

  /** @param options - Clock, and the log for exceptions. */
  constructor(options: WorkQueueOptions) {
    this.#options = options;
  }

  /** Number of pieces of work that wait. */
  get size(): number {
    return this.#added.length + this.#ready.length - this.#position;
  }

  /** Number of tasks that threw an exception. */
  get failures(): number {
    return this.#failures;
  }

  /**
   * Adds a piece of work.
   * @param task - Handles the work.
   */
  add(task: WorkTask): void {
    this.#added.push({ task, addedMs: this.#options.now() });
    this.#schedule();
  }

  #schedule(): void {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      setImmediate(() => this.#runTurn());
    }
  }

  #runTurn(): void {
    this.#isScheduled = false;
    this.#handleReady();
    // Work that was read just now waits for the next read.
    this.#ready = this.#ready.slice(this.#position).concat(this.#added);
    this.#position = 0;
    this.#added = [];
    if (this.size > 0) {
      this.#schedule();
    }
  }

  #handleReady(): void {
    let nowMs = this.#options.now();
    const untilMs = nowMs + TURN_MS;
    while (this.#position < this.#ready.length && nowMs < untilMs) {
      const { task, addedMs } = this.#ready[this.#position];
      this.#position += 1;
      this.#tryRun(task, nowMs - addedMs);
      nowMs = this.#options.now();
    }
  }

  /** Runs a task and logs an exception, so that a fault in one piece of work does not stop the others. */
  #tryRun(task: WorkTask, waitedMs: number): void {
    try {
      task(waitedMs);
    } catch (error) {
      this.#failures += 1;
      const stack = error instanceof Error ? (error.stack ?? error.message) : String(error);
      this.#options.log.write('error', 'decisions', 'exception in new work', { stack });
    }
  }
}
