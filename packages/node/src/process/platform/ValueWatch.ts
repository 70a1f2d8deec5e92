import type { Result } from 'true-myth';
import type { PlatformClient, PlatformValue } from './PlatformClient.js';
import type { PlatformError } from './PlatformError.js';

/** Options of a watch. */
export interface ValueWatchOptions {
  readonly client: PlatformClient;
  readonly path: string;
  /** Longest wait of one read, in milliseconds. */
  readonly waitMs: number;
  /** Computes the longest random pause after a new value, in milliseconds; spreads the reads of a large fleet. */
  readonly computeMaxJitterMs: () => number;
  readonly onValue: (text: string, index: number) => void;
  /** A read told that the value is still the same. */
  readonly onUnchanged: () => void;
  readonly onFailure: (error: PlatformError) => void;
}

/** Pauses after failures, in milliseconds; doubled up to the longest and jittered to between half and all of it. */
const FIRST_PAUSE_MS = 500;

const LONGEST_PAUSE_MS = 15_000;

/** Watches one value of the platform until it is stopped. */
export class ValueWatch {
  readonly #options: ValueWatchOptions;

  /** Changes with every start and stop, so that the loop of an earlier start ends. */
  #generation = 0;

  #running = false;

  #index: number | undefined;

  #timer: NodeJS.Timeout | undefined;

  /** @param options - What to watch and where values go. */
  constructor(options: ValueWatchOptions) {
    this.#options = options;
  }

  /** Starts; no effect when started. */
  start(): void {
    if (this.#running) {
      return;
    }
    this.#running = true;
    this.#generation += 1;
    void this.#run(this.#generation);
  }

  /** Stops; the result of a read under way is ignored. */
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

  /** Takes the result of a read and tells whether it brought a new value. */
  #accept(result: Result<PlatformValue | undefined, PlatformError>): boolean {
    if (result.isErr) {
      // The platform may have been replaced and count from the start again.
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
