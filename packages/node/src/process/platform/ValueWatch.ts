import type { Result } from 'true-myth';
import type { PlatformClient, PlatformValue } from './PlatformClient.js';
import type { PlatformError } from './PlatformError.js';

/** Options of a watch. */
export interface ValueWatchOptions {
  readonly client: PlatformClient;
  readonly path: string;
  /** Maximum wait of one watch request, in milliseconds. */
  readonly waitMs: number;
  /** Computes the maximum random pause after a new value, in milliseconds; it spreads the reads of a large fleet. */
  readonly computeMaxJitterMs: () => number;
  readonly onValue: (text: string, index: number) => void;
  /** Called when a read found the value unchanged. */
  readonly onUnchanged: () => void;
  readonly onFailure: (error: PlatformError) => void;
}

/**
 * Base and limit of the exponential backoff after failures, in milliseconds. The first pause is based on twice the
 * base, and each is jittered to between half and all of it.
 */
const FIRST_PAUSE_MS = 500;

const LONGEST_PAUSE_MS = 15_000;

/** Watches one value of the platform by long polling: a plain read first, then watches for newer values. */
export class ValueWatch {
  readonly #options: ValueWatchOptions;

  /** Incremented by every start and stop, so that the loop of an earlier start ends. */
  #generation = 0;

  #running = false;

  #index: number | undefined;

  #timer: NodeJS.Timeout | undefined;

  /** @param options - Path to watch, and the callbacks that receive values and failures. */
  constructor(options: ValueWatchOptions) {
    this.#options = options;
  }

  /** Starts watching; has no effect when started already. */
  start(): void {
    if (this.#running) {
      return;
    }
    this.#running = true;
    this.#generation += 1;
    void this.#run(this.#generation);
  }

  /** Stops watching; the result of a read in progress is ignored. */
  stop(): void {
    this.#running = false;
    this.#generation += 1;
    clearTimeout(this.#timer);
  }

  async #run(generation: number): Promise<void> {
    let pauseMs = FIRST_PAUSE_MS;
    while (this.#generation === generation) {
      const result = await this.#read();
      if (this.#generation !== generation) {
        return;
      }
      pauseMs = result.isErr ? Math.min(pauseMs * 2, LONGEST_PAUSE_MS) : FIRST_PAUSE_MS;
      const waitMs = this.#accept(result) ? Math.random() * this.#options.computeMaxJitterMs() : 0;
      const failedMs = pauseMs * (0.5 + Math.random() / 2);
      await this.#pause(result.isErr ? failedMs : waitMs);
    }
  }

  #read(): Promise<Result<PlatformValue | undefined, PlatformError>> {
    const { client, path, waitMs } = this.#options;
    return this.#index === undefined ? client.read(path) : client.watch(path, this.#index, waitMs);
  }

  /** Passes on the result of a read; returns whether it is a new value. */
  #accept(result: Result<PlatformValue | undefined, PlatformError>): boolean {
    if (result.isErr) {
      // The platform may have been replaced and its indices may start again, so the next request is a plain read.
      this.#index = undefined;
      this.#options.onFailure(result.error);
      return false;
    }
    if (result.value === undefined) {
      this.#options.onUnchanged();
      return false;
    }
    this.#index = result.value.index;
    this.#options.onValue(result.value.text, result.value.index);
    return true;
  }

  #pause(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#timer = setTimeout(resolve, durationMs);
    });
  }
}
