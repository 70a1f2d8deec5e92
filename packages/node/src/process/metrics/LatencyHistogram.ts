// The whole library brings readers and writers of log files, whose set-up took a sixth of the start of a process.
import { build } from 'hdr-histogram-js/dist/HistogramBuilder.js';
import type { Histogram } from 'hdr-histogram-js';

/** Times are recorded in microseconds, up to 10 minutes. */
const MICROSECONDS = 1_000;

const HIGHEST_MICROSECONDS = 600_000_000;

/** Time from the arrival of a request until its answer. */
export class LatencyHistogram {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: 2,
  });

  /**
   * Records one request.
   * @param durationMs - Duration in milliseconds.
   */
  record(durationMs: number): void {
    const microseconds = Math.min(Math.round(durationMs * MICROSECONDS), HIGHEST_MICROSECONDS);
    this.#histogram.recordValue(Math.max(microseconds, 1));
  }

  /**
   * Reads a percentile, in milliseconds.
   * @param percentile - From 0 to 100.
   */
  readPercentile(percentile: number): number {
    return this.#histogram.getValueAtPercentile(percentile) / MICROSECONDS;
  }

  /** Number of requests recorded. */
  get count(): number {
    return this.#histogram.totalCount;
  }
}
