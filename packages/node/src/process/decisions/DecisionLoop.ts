import type { node } from '@tanagerpond/core';
import type { Log } from '../log/index.js';
import type { DecisionEngine } from './DecisionEngine.js';

/** Interval of the `tick` messages, in milliseconds. */
const TICK_MS = 50;

/** Delay of a tick from which on it is logged, in milliseconds: half of the delay that callers notice. */
const LOGGED_LATE_MS = 250;

/** Options of a decision loop; `now` returns the monotonic time in milliseconds. */
export interface DecisionLoopOptions {
  readonly engine: DecisionEngine;
  readonly dispatch: (command: node.NodeCommand) => void;
  readonly now: () => number;
  readonly log: Log;
}

/**
 * Passes messages to the decision engine one at a time and dispatches the returned commands in order. A message that is
 * published meanwhile is queued until the commands of the current message are dispatched.
 */
export class DecisionLoop {
  readonly #options: DecisionLoopOptions;

  readonly #queue: node.NodeMessage[] = [];

  #running = false;

  #timer: NodeJS.Timeout | undefined;

  #failures = 0;

  #tickedMs: number;

  /** @param options - Decision engine, and the callback that receives its commands. */
  constructor(options: DecisionLoopOptions) {
    this.#options = options;
    this.#tickedMs = options.now();
  }

  /** Starts to publish a `tick` message every 50 ms. */
  start(): void {
    this.#timer = setInterval(() => {
      this.#recordTick(this.#options.now());
      this.publish({ kind: 'tick' });
    }, TICK_MS);
  }

  /**
   * Passes a message to the decision engine, at once or after the messages that are queued.
   * @param message - Event of the process.
   */
  publish(message: node.NodeMessage): void {
    this.#queue.push(message);
    if (!this.#running) {
      this.#run();
    }
  }

  /** Number of messages and commands whose handling threw an exception. */
  get failures(): number {
    return this.#failures;
  }

  /** Stops the ticks. */
  [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
    return Promise.resolve();
  }

  /** Logs a late tick: everything that arrived since the last one was handled late too. */
  #recordTick(nowMs: number): void {
    const lateMs = nowMs - this.#tickedMs - TICK_MS;
    this.#tickedMs = nowMs;
    if (lateMs >= LOGGED_LATE_MS) {
      const fields = { lateMs: Math.round(lateMs) };
      this.#options.log.write('info', 'decisions', 'process is late', fields);
    }
  }

  #run(): void {
    this.#running = true;
    // Handling a message may append to the queue, so it is read by position and emptied at the end.
    for (let position = 0; position < this.#queue.length; position++) {
      this.#handle(this.#queue[position]);
    }
    this.#queue.length = 0;
    this.#running = false;
  }

  #handle(message: node.NodeMessage): void {
    const commands = this.#tryRun(message.kind, () =>
      this.#options.engine.handle(message, this.#options.now()),
    );
    commands?.forEach((command) => {
      this.#tryRun(command.kind, () => this.#options.dispatch(command));
    });
  }

  /** Runs an action and logs an exception, so that a fault in one message does not stop the handling of the others. */
  #tryRun<T>(kind: string, action: () => T): T | undefined {
    try {
      return action();
    } catch (error) {
      this.#failures += 1;
      const stack = error instanceof Error ? (error.stack ?? error.message) : String(error);
      this.#options.log.write('error', 'decisions', `exception in ${kind}`, { stack });
      return undefined;
    }
  }
}
