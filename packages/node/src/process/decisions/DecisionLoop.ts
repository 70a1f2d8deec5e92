import type { node } from '@tanagerpond/core';
import type { Log } from '../log/index.js';
import type { DecisionEngine } from './DecisionEngine.js';

/** Time between two ticks of the decisions, in milliseconds. */
const TICK_MS = 50;

/** Options of a decision task; `now` gives monotonic milliseconds. */
export interface DecisionLoopOptions {
  readonly decisions: DecisionEngine;
  readonly dispatch: (command: node.NodeCommand) => void;
  readonly now: () => number;
  readonly log: Log;
}

/**
 * Gives the decisions one message after the other and carries out their commands in order. A message that arrives
 * while a command is carried out waits until the commands of the present message are done.
 */
export class DecisionLoop {
  readonly #options: DecisionLoopOptions;

  readonly #queue: node.NodeMessage[] = [];

  #running = false;

  #timer: NodeJS.Timeout | undefined;

  #failures = 0;

  /** @param options - Decisions and where their commands go. */
  constructor(options: DecisionLoopOptions) {
    this.#options = options;
  }

  /** Starts the ticks. */
  start(): void {
    this.#timer = setInterval(() => this.publish({ kind: 'tick' }), TICK_MS);
  }

  /**
   * Hands a message to the decisions.
   * @param message - What happened.
   */
  publish(message: node.NodeMessage): void {
    this.#queue.push(message);
    if (!this.#running) {
      this.#run();
    }
  }

  /** Number of messages or commands that ended in an exception. */
  get failures(): number {
    return this.#failures;
  }

  /** Stops the ticks. */
  [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
    return Promise.resolve();
  }

  #run(): void {
    this.#running = true;
    // The queue grows while its messages are handled, so it is read by position and emptied at the end.
    for (let position = 0; position < this.#queue.length; position++) {
      this.#handle(this.#queue[position]);
    }
    this.#queue.length = 0;
    this.#running = false;
  }

  #handle(message: node.NodeMessage): void {
    const commands = this.#tryRun(message.kind, () =>
      this.#options.decisions.handle(message, this.#options.now()),
    );
    commands?.forEach((command) => {
      this.#tryRun(command.kind, () => this.#options.dispatch(command));
    });
  }

  /** A fault in one message must not stop the handling of the others. */
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
