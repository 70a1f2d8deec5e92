const MICROSECONDS_PER_MS = 1_000;

/**
 * Measures the processor time of a function.
 * @returns Milliseconds of user and system time.
 */
export function measureCpu(run: () => void): number {
  const before = process.cpuUsage();
  run();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / MICROSECONDS_PER_MS;
}

/**
 * Measures the heap that a value keeps. Needs `node --expose-gc`.
 * @returns Bytes, and the value so that it stays alive.
 */
export function measureHeap<Value>(build: () => Value): { bytes: number; value: Value } {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const value = build();
  globalThis.gc?.();
  return { bytes: process.memoryUsage().heapUsed - before, value };
}
