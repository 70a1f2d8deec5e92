import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';

/** Path to the backend server: direct or through the nodes. */
export interface BenchTarget {
  readonly address: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** Durations of the calls to one target, in microseconds, and the number of calls not answered with status 200. */
export interface BenchResult {
  readonly histogram: Histogram;
  failures: number;
}

/** Request body of every call. */
const BODY = Buffer.alloc(512, 'b');

const CONNECTIONS = 32;

/** Time limit of one call, in milliseconds. */
const CALL_LIMIT_MS = 10_000;

/**
 * Calls all targets alternately at a fixed rate and measures the durations. A slow answer does not delay the next call.
 * @param targets - Targets to call.
 * @param options - `rate` in calls a second for each target; `durationMs` in milliseconds.
 * @returns One result for each target, in the same order.
 */
export async function measureCalls(
  targets: readonly BenchTarget[],
  options: { readonly rate: number; readonly durationMs: number },
): Promise<readonly BenchResult[]> {
  const pools = targets.map(
    ({ address }) => new Pool(`http://${address}`, { connections: CONNECTIONS }),
  );
  const results = targets.map((): BenchResult => ({ histogram: createHistogram(), failures: 0 }));
  const startMs = performance.now();
  const gapMs = 1_000 / (options.rate * targets.length);
  const count = Math.floor(options.durationMs / gapMs);
  const calls: Promise<void>[] = [];
  for (let number = 0; number < count; number++) {
    await waitUntil(startMs + number * gapMs);
    const index = number % targets.length;
    calls.push(measureCall(pools[index], targets[index], results[index]));
  }
  await Promise.all(calls);
  await Promise.all(pools.map((pool) => pool.destroy()));
  return results;
}

function createHistogram(): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
}

async function waitUntil(timeMs: number): Promise<void> {
  const leftMs = timeMs - performance.now();
  if (leftMs > 0) {
    await new Promise((resolve) => {
      setTimeout(resolve, leftMs);
    });
  }
}

async function measureCall(pool: Pool, target: BenchTarget, result: BenchResult): Promise<void> {
  const startMs = performance.now();
  try {
    const answer = await pool.request({
      path: target.path,
      method: 'POST',
      headers: target.headers,
      body: BODY,
      signal: AbortSignal.timeout(CALL_LIMIT_MS),
    });
    await answer.body.arrayBuffer();
    if (answer.statusCode === 200) {
      result.histogram.recordValue(Math.round((performance.now() - startMs) * 1_000));
      return;
    }
  } catch {
    // A call that throws is counted as a failure below.
  }
  // eslint-disable-next-line no-param-reassign -- the result is what this function fills
  result.failures += 1;
}
