const MICROSECONDS_PER_MS = 1_000;

/**
 * Measures the processor time of a synchronous function.
 * @returns Milliseconds of user and system time.
 */
export function measureCpu(run: () => void): number {
  const before = process.cpuUsage();
  run();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / MICROSECONDS_PER_MS;
}

/**
 * Measures the heap that a value occupies. Needs `node --expose-gc`; otherwise garbage is counted too.
 * @returns The bytes, and the value so that it is not collected.
 */
export function measureHeap<Value>(build: () => Value): { bytes: number; value: Value } {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const value = build();
  globalThis.gc?.();
  return { bytes: process.memoryUsage().heapUsed - before, value };
}
