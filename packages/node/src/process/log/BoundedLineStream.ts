import { Writable } from 'node:stream';

/** Options of the lines; `now` gives monotonic milliseconds. */
export interface BoundedLineStreamOptions {
  readonly target: Writable;
  readonly now: () => number;
  /** Lines that are passed on in a second, on average. */
  readonly linesPerSecond: number;
  /** Bytes that may wait for a slow reader. */
  readonly backlogBytes: number;
}

const SECOND_MS = 1_000;

/** Seconds of lines that may come at once. */
const BURST_SECONDS = 2;

/**
 * Passes log lines on and never waits: a line beyond the rate, or while a slow reader leaves too many bytes behind, is
 * left out and counted. The next line that is passed on is followed by the count.
 */
export class BoundedLineStream {
  /** Takes the lines. */
  readonly input: Writable;

  readonly #options: BoundedLineStreamOptions;

  #tokens: number;

  #refilledMs: number;

  #omitted = 0;

  #omittedTotal = 0;

  /** @param options - Where lines go and how many. */
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

  /** Lines that were left out since the start. */
  get omitted(): number {
    return this.#omittedTotal;
  }

  /**
   * Drops the next line, and counts it, when there is no room for it. Asking first saves formatting the line.
   * @returns False when the line may be written to the input.
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
