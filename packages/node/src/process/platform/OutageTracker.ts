/** Times of a source that does not answer, in milliseconds, for log lines. */
export interface Outage {
  /** Time since the first failure in a row. */
  readonly awayMs: number;
  /** Time since the last answer; absent before the first. */
  readonly lastAnswerAgeMs?: number;
}

/** Tells for how long a source has not answered. */
export class OutageTracker {
  readonly #now: () => number;

  #failedMs: number | undefined;

  #answeredMs: number | undefined;

  /** @param now - Gives monotonic milliseconds. */
  constructor(now: () => number) {
    this.#now = now;
  }

  /**
   * Records an answer.
   * @returns The outage that it ends; undefined when there was none.
   */
  recordAnswer(): Outage | undefined {
    const ended = this.#failedMs === undefined ? undefined : this.#describe(this.#failedMs);
    this.#failedMs = undefined;
    this.#answeredMs = this.#now();
    return ended;
  }

  /** Records a failure and describes the outage that it begins or prolongs. */
  recordFailure(): Outage {
    this.#failedMs ??= this.#now();
    return this.#describe(this.#failedMs);
  }

  #describe(failedMs: number): Outage {
    const nowMs = this.#now();
    return {
      awayMs: Math.round(nowMs - failedMs),
      ...(this.#answeredMs === undefined
        ? {}
        : { lastAnswerAgeMs: Math.round(nowMs - this.#answeredMs) }),
    };
  }
}
