import type { Log } from '../log/index.js';
import { WorkLane } from './WorkLane.js';
import type { WorkEntry, WorkTask } from './WorkLane.js';

/**
 * Longest time for which work is handled before the sockets are read again, in milliseconds. Cancellations, answers and
 * the ends of connections wait at most that long.
 */
const TURN_MS = 10;

/** Adds a piece of new work, such as a request or a call, to the work queue of the process. */
export type AddWork = (task: WorkTask) => void;

/** Options of a work queue; `now` returns the monotonic time in milliseconds. */
export interface WorkQueueOptions {
  readonly now: () => number;
  readonly log: Log;
}

/**
 * Handles work when all sockets have been read: first what continues accepted requests, then new work, for which they
 * have been read once more, each in the order of arrival. A process that is late reads a request and the end of its
 * connection in successive reads, so that by then it knows which work nobody waits for. A task decides itself whether
 * its work is still wanted.
 */
export class WorkQueue {
  readonly #options: WorkQueueOptions;

  readonly #continued = new WorkLane();

  readonly #new = new WorkLane();

  #isScheduled = false;

  #isHandling = false;

  #failures = 0;

  /** @param options - Clock, and the log for exceptions. */
  constructor(options: WorkQueueOptions) {
    this.#options = options;
  }

  /** Number of pieces of work that wait. */
  get size(): number {
    return this.#continued.size + this.#new.size;
  }

  /** Number of tasks that threw an exception. */
  get failures(): number {
    return this.#failures;
  }

  /**
   * Adds a piece of new work.
   * @param task - Handles the work.
   */
  add(task: WorkTask): void {
    this.#add(this.#new, task);
  }

  /**
   * Runs a task that continues an accepted request: at once within a task, otherwise when all sockets have been read,
   * before new work.
   * @param task - Handles the work.
   */
  continue(task: WorkTask): void {
    if (this.#isHandling) {
      task(0);
      return;
    }
    this.#add(this.#continued, task);
  }

  #add(lane: WorkLane, task: WorkTask): void {
    lane.add({ task, addedMs: this.#options.now() });
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
    this.#isHandling = true;
    // The sockets have been read since a continuation was added, and the end of its caller comes first on its socket.
    this.#continued.advance();
    this.#handleReady();
    this.#isHandling = false;
    // New work waits for the next read, because the end of a connection is read after its last bytes.
    this.#new.advance();
    if (this.size > 0) {
      this.#schedule();
    }
  }

  #handleReady(): void {
    let nowMs = this.#options.now();
    const untilMs = nowMs + TURN_MS;
    let entry = this.#take();
    while (entry !== undefined) {
      this.#tryRun(entry, nowMs);
      nowMs = this.#options.now();
      entry = nowMs < untilMs ? this.#take() : undefined;
    }
  }

  #take(): WorkEntry | undefined {
    return this.#continued.take() ?? this.#new.take();
  }

  /** Runs a task and logs an exception, so that a fault in one piece of work does not stop the others. */
  #tryRun({ task, addedMs }: WorkEntry, nowMs: number): void {
    try {
      task(nowMs - addedMs);
    } catch (error) {
      this.#failures += 1;
      const stack = error instanceof Error ? (error.stack ?? error.message) : String(error);
      this.#options.log.write('error', 'decisions', 'exception in work', { stack });
    }
  }
}
