import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';

/** A way to the backend server. */
export interface BenchTarget {
  readonly address: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** Times of the calls of one target, in microseconds, and the calls that were not answered with 200. */
export interface BenchResult {
  readonly histogram: Histogram;
  failures: number;
}

/** Body of every call, in bytes. */
const BODY = Buffer.alloc(512, 'b');

const CONNECTIONS = 32;

/** Time limit of one call, in milliseconds. */
const CALL_LIMIT_MS = 10_000;

/**
 * Calls all targets in turn at a fixed rate; a slow answer does not delay the next call.
 * @param targets - Targets, called one after the other.
 * @param options - `rate` in calls a second for each target; `durationMs` in milliseconds.
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
    // Counted below.
  }
  // eslint-disable-next-line no-param-reassign -- the result is what this function fills
  result.failures += 1;
}
