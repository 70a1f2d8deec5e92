import * as histograms from 'hdr-histogram-js';
import type { RequestEnd, RequestRecord } from './RequestRecord.js';

/** Ended requests by how they ended, and latency percentiles of those that ended `whole`, in milliseconds. */
export interface LoadSummary extends Readonly<Record<RequestEnd, number>> {
  readonly ended: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

const MICROSECONDS_PER_MS = 1_000;

/**
 * Counts ended requests and computes their latency percentiles.
 * @param records - Records of one or several loads.
 */
export function collectSummary(records: readonly RequestRecord[]): LoadSummary {
  const histogram = histograms.build({ numberOfSignificantValueDigits: 3 });
  const counts = { whole: 0, refusedNotRun: 0, unknown: 0, failed: 0, wrong: 0 };
  records.forEach((record) => {
    counts[record.end] += 1;
    if (record.end === 'whole') {
      histogram.recordValue((record.endedMs - record.startedMs) * MICROSECONDS_PER_MS);
    }
  });
  return {
    ...counts,
    ended: records.length,
    p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
  };
}
