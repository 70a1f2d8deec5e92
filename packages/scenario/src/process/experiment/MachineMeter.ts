import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as perfHooks from 'node:perf_hooks';

/** Length of the clock tick in which Linux counts the CPU time of a process (100 ticks per second). */
const TICK_MS = 10;

/** Index of the user time in `/proc/PID/stat`, counted from the field after the name; the system time follows it. */
const USER_TIME_FIELD = 11;

/** Resource usage during a run, which shows whether the CPU of the machine was the bottleneck. */
export interface MachineUse {
  /** Fraction of the CPU time of all cores that was busy, other programs on the machine included. */
  readonly busyFraction: number;
  readonly cores: number;
  /** Average number of cores used by all processes of the run, callers included; null if `/proc` cannot be read. */
  readonly ownCores: number | null;
  /** 99th percentile of the event loop delay of this process, which runs the callers and the run collector. */
  readonly eventLoopP99Ms: number;
}

/** Measures the resource usage between `start` and `end`. */
export class MachineMeter {
  readonly #delay = perfHooks.monitorEventLoopDelay({ resolution: 10 });

  readonly #ids: readonly number[];

  readonly #times: ReturnType<typeof readTimes>;

  readonly #startedMs = performance.now();

  readonly #ownMs: number | null;

  private constructor(ids: readonly number[], ownMs: number | null) {
    this.#ids = ids;
    this.#ownMs = ownMs;
    this.#times = readTimes();
    this.#delay.enable();
  }

  /**
   * Starts a measurement.
   * @param ids - Process ids of the run, without this process, which is always included.
   */
  static async start(ids: readonly number[]): Promise<MachineMeter> {
    return new MachineMeter(ids, await readOwnMs(ids));
  }

  /** Ends the measurement and returns its result. */
  async end(): Promise<MachineUse> {
    this.#delay.disable();
    const end = readTimes();
    const total = end.total - this.#times.total;
    const idle = end.idle - this.#times.idle;
    const ownMs = await readOwnMs(this.#ids);
    const spanMs = performance.now() - this.#startedMs;
    return {
      busyFraction: total === 0 ? 0 : 1 - idle / total,
      cores: os.cpus().length,
      ownCores: ownMs === null || this.#ownMs === null ? null : (ownMs - this.#ownMs) / spanMs,
      eventLoopP99Ms: this.#delay.percentile(99) / 1e6,
    };
  }
}

async function readOwnMs(ids: readonly number[]): Promise<number | null> {
  try {
    const times = await Promise.all([process.pid, ...ids].map(readProcessMs));
    return times.reduce((sum, time) => sum + time, 0);
  } catch {
    return null;
  }
}

async function readProcessMs(id: number): Promise<number> {
  const text = await fs.readFile(`/proc/${id}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[USER_TIME_FIELD + 1]);
  return ticks * TICK_MS;
}

function readTimes(): { idle: number; total: number } {
  const times = os.cpus().map((cpu) => cpu.times);
  const idle = times.reduce((sum, time) => sum + time.idle, 0);
  const total = times.reduce(
    (sum, time) => sum + Object.values(time).reduce((part, value) => part + value, 0),
    0,
  );
  return { idle, total };
}
