/** Log fields about a source that does not answer; times in milliseconds. */
export interface Outage {
  /** Time since the first of the consecutive failures. */
  readonly awayMs: number;
  /** Time since the last answer; absent before the first. */
  readonly lastAnswerAgeMs?: number;
}

/** Tracks for how long a source has not answered. */
export class OutageTracker {
  readonly #now: () => number;

  #failedMs: number | undefined;

  #answeredMs: number | undefined;

  /** @param now - Returns the monotonic time in milliseconds. */
  constructor(now: () => number) {
    this.#now = now;
  }

  /**
   * Records an answer.
   * @returns The outage that the answer ends; undefined when there was none.
   */
  recordAnswer(): Outage | undefined {
    const ended = this.#failedMs === undefined ? undefined : this.#describe(this.#failedMs);
    this.#failedMs = undefined;
    this.#answeredMs = this.#now();
    return ended;
  }

  /** Records a failure and returns the outage that it begins or continues. */
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
