import type { RandomSource } from '../src/process/time/index.js';

interface Job {
  workMs: number;
  readonly end: () => void;
}

/**
 * Loss of efficiency when running requests exceed the slots, per multiple of the slots; from context switches and
 * memory pressure.
 */
const THRASHING = 0.5;

/**
 * Simulated backend server that shares its cores among the running requests. Up to `cores` requests run at full speed;
 * with more than `slots` requests it also loses efficiency.
 */
export class SimulatedBackend {
  readonly #cores: number;

  readonly #slots: number;

  readonly #meanWorkMs: number;

  readonly #random: RandomSource;

  readonly #jobs = new Map<string, Job>();

  /** Factor by which the work of every request is longer than normal. */
  slowdown = 1;

  /** Number of running requests. */
  get size(): number {
    return this.#jobs.size;
  }

  /** @param options - Cores, declared slots, mean work of a request and the source of the work times. */
  constructor(options: { cores: number; slots: number; meanWorkMs: number; random: RandomSource }) {
    this.#cores = options.cores;
    this.#slots = options.slots;
    this.#meanWorkMs = options.meanWorkMs;
    this.#random = options.random;
  }

  /**
   * Begins a request. Half of its mean work is fixed, the other half exponentially distributed.
   * @param id - Id of the request.
   * @param end - Called when the work is done.
   */
  begin(id: string, end: () => void): void {
    const factor = 0.5 - 0.5 * Math.log(1 - this.#random.next());
    this.#jobs.set(id, { workMs: this.#meanWorkMs * factor, end });
  }

  /**
   * Cancels a request.
   * @param id - Id of the request.
   * @returns False if the request is not running.
   */
  cancel(id: string): boolean {
    return this.#jobs.delete(id);
  }

  /**
   * Advances the simulated time and ends the requests whose work is done.
   * @param elapsedMs - Elapsed time, in milliseconds.
   */
  advance(elapsedMs: number): void {
    const count = this.#jobs.size;
    const excess = Math.max(0, count - this.#slots) / this.#slots;
    const share = Math.min(1, this.#cores / count) / (1 + THRASHING * excess) / this.slowdown;
    const done: Job[] = [];
    this.#jobs.forEach((job, id) => {
      Object.assign(job, { workMs: job.workMs - elapsedMs * share });
      if (job.workMs <= 0) {
        this.#jobs.delete(id);
        done.push(job);
      }
    });
    done.forEach((job) => job.end());
  }
}
