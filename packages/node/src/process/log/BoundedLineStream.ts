import { Writable } from 'node:stream';

/** Options of a bounded line stream; `now` returns the monotonic time in milliseconds. */
export interface BoundedLineStreamOptions {
  readonly target: Writable;
  readonly now: () => number;
  /** Rate limit: average number of lines a second. */
  readonly linesPerSecond: number;
  /** Maximum bytes that may wait in the target for a slow reader. */
  readonly backlogBytes: number;
}

const SECOND_MS = 1_000;

/** Size of the token bucket, in seconds of lines at the average rate. */
const BURST_SECONDS = 2;

/**
 * Writes log lines to a target without ever blocking. A line is dropped and counted when the rate limit (a token
 * bucket) or the backlog of a slow reader is exceeded; the next written line is followed by a line with the count.
 */
export class BoundedLineStream {
  /** Stream that accepts the lines, one per write. */
  readonly input: Writable;

  readonly #options: BoundedLineStreamOptions;

  #tokens: number;

  #refilledMs: number;

  #omitted = 0;

  #omittedTotal = 0;

  /** @param options - Target and limits. */
  constructor(options: BoundedLineStreamOptions) {
    this.input = new Writable({
      decodeStrings: false,
      write: (line: string, _encoding, done) => {
        this.#pass(line);
        done();
      },
    });
    this.#options = options;
    this.#tokens = BURST_SECONDS * options.linesPerSecond;
    this.#refilledMs = options.now();
  }

  /** Number of lines dropped since the start. */
  get omitted(): number {
    return this.#omittedTotal;
  }

  /**
   * Counts the next line as dropped when a limit is exceeded. Calling this first saves formatting a dropped line.
   * @returns True when the line is dropped; false when it may be written to `input`.
   */
  dropIfFull(): boolean {
    const { target, backlogBytes } = this.#options;
    this.#refill();
    const isFull = target.writableLength > backlogBytes || this.#tokens < 1;
    this.#omitted += Number(isFull);
    this.#omittedTotal += Number(isFull);
    return isFull;
  }

  #pass(line: string): void {
    if (this.dropIfFull()) {
      return;
    }
    const { target } = this.#options;
    this.#tokens -= 1;
    target.write(line);
    if (this.#omitted > 0) {
      const fields = { level: 'warn', message: 'log: lines were left out', lines: this.#omitted };
      target.write(`${JSON.stringify(fields)}\n`);
      this.#omitted = 0;
    }
  }

  #refill(): void {
    const { now, linesPerSecond } = this.#options;
    const nowMs = now();
    const refill = ((nowMs - this.#refilledMs) * linesPerSecond) / SECOND_MS;
    this.#tokens = Math.min(BURST_SECONDS * linesPerSecond, this.#tokens + refill);
    this.#refilledMs = nowMs;
  }
}
