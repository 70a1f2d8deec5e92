// The main module also loads the readers and writers of log files, which took a sixth of the start time of a process.
import { build } from 'hdr-histogram-js/dist/HistogramBuilder.js';
import type { Histogram } from 'hdr-histogram-js';

/** Microseconds in a millisecond; times are recorded in microseconds. */
const MICROSECONDS = 1_000;

/** Longest recorded time: 10 minutes. Longer times are recorded as this. */
const HIGHEST_MICROSECONDS = 600_000_000;

/** Histogram of the time from the arrival of a request to its answer. */
export class LatencyHistogram {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: 2,
  });

  /**
   * Records the time of one request.
   * @param durationMs - Duration in milliseconds.
   */
  record(durationMs: number): void {
    const microseconds = Math.min(Math.round(durationMs * MICROSECONDS), HIGHEST_MICROSECONDS);
    this.#histogram.recordValue(Math.max(microseconds, 1));
  }

  /**
   * Returns a percentile of the recorded times, in milliseconds.
   * @param percentile - Percentile from 0 to 100.
   */
  readPercentile(percentile: number): number {
    return this.#histogram.getValueAtPercentile(percentile) / MICROSECONDS;
  }

  /** Number of recorded requests. */
  get count(): number {
    return this.#histogram.totalCount;
  }
}
