import { BenchFleet } from './BenchFleet.js';
import { measureCalls } from './measureCalls.js';
import type { BenchResult, BenchTarget } from './measureCalls.js';

/** Calls a second on each path. The paths are called alternately, so that both see the same load of the machine. */
const RATE = Number(process.env.BENCH_RATE ?? 100);

/** Calls before the measurement, which let the engine compile hot code as in a process that has run for days. */
const WARM_UP = { rate: 500, durationMs: 15_000 };

const DURATION_MS = Number(process.env.BENCH_SECONDS ?? 20) * 1_000;

/** Time limit until calls through the nodes succeed, in milliseconds. */
const READY_LIMIT_MS = 30_000;

/** Time without calls over which the CPU time of the idle nodes is measured, in milliseconds. */
const IDLE_MS = 5_000;

const PERCENTILES = [50, 90, 99];

/** Maximum added latency at the 99th percentile according to the design page, in milliseconds. */
const TARGET_MS = 2;

await using fleet = new BenchFleet();
await fleet.start();

const direct: BenchTarget = { address: fleet.backend, path: '/echo', headers: {} };
const through: BenchTarget = {
  address: fleet.caller,
  path: '/bench/echo',
  headers: { authorization: `Bearer ${fleet.key}` },
};

await waitReady();
await measureCalls([direct, through], WARM_UP);
const idle = await readCpu();
await new Promise((resolve) => {
  setTimeout(resolve, IDLE_MS);
});
const before = await readCpu();
const [directResult, throughResult] = await measureCalls([direct, through], {
  rate: RATE,
  durationMs: DURATION_MS,
});
const after = await readCpu();
printResults(directResult, throughResult);

async function waitReady(): Promise<void> {
  const endMs = performance.now() + READY_LIMIT_MS;
  let failures = 1;
  while (failures > 0) {
    if (performance.now() > endMs) {
      throw new Error('calls through the nodes did not succeed within the time limit');
    }
    [{ failures }] = await measureCalls([through], { rate: 10, durationMs: 1_000 });
  }
}

async function readCpu(): Promise<Readonly<Record<'entry' | 'exit', number>>> {
  return { entry: await fleet.readCpuMs('entry'), exit: await fleet.readCpuMs('exit') };
}

function printResults(directTimes: BenchResult, throughTimes: BenchResult): void {
  const calls = throughTimes.histogram.totalCount;
  const lines = [
    `${calls} calls on each way at ${RATE} a second; times in ms`,
    'percentile  direct  two nodes  added',
    ...PERCENTILES.map((percentile) => {
      const [left, right] = [directTimes, throughTimes].map(
        ({ histogram }) => histogram.getValueAtPercentile(percentile) / 1_000,
      );
      const cells = [left.toFixed(3), right.toFixed(3), (right - left).toFixed(3)];
      return `${String(percentile).padEnd(10)}  ${cells[0]}   ${cells[1]}      ${cells[2]}`;
    }),
    `target: ${TARGET_MS} added for 99 in 100 calls`,
    `failures: direct ${directTimes.failures}, two nodes ${throughTimes.failures}`,
    ...(['entry', 'exit'] as const).map((node) => {
      const idlePart = (before[node] - idle[node]) / IDLE_MS;
      const idleMs = idlePart * DURATION_MS;
      const cpuMs = (after[node] - before[node] - idleMs) / calls;
      const percent = (idlePart * 100).toFixed(2);
      return `CPU of the ${node} node: ${cpuMs.toFixed(3)} ms a call, ${percent}% of a core when idle`;
    }),
  ];
  process.stdout.write(`${lines.join('\n')}\n`);
}
