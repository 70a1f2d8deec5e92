/** Length, call rates and slowdown of one part of a run. */
export interface LoopPhase {
  readonly durationMs: number;
  /** Calls a second of each workspace, as a multiple of the capacity. */
  readonly rates: readonly number[];
  /** Factor by which the work of each request is longer. */
  readonly slowdown: number;
}

/** One run of the closed loop. */
export interface LoopSettings {
  readonly seed: number;
  /** Whether the admission queue and backpressure are used; otherwise callers only retry. */
  readonly isProtected: boolean;
  /** Longest one-way delay between an entry node and the VM; the delays are spread evenly, from 1.5 ms. */
  readonly longestDelayMs: number;
  readonly phases: readonly LoopPhase[];
  /** Fractions of the priority classes 0 to 3. */
  readonly classes: readonly number[];
}

/** Counts of one time slice. Served requests count in the slice in which they began. */
export interface LoopSlice {
  readonly startMs: number;
  /** Requests begun and served, by workspace. */
  readonly begun: number[];
  readonly served: number[];
  /** Requests begun and served, by class. */
  readonly begunByClass: number[];
  readonly servedByClass: number[];
  /** Answers that arrived in the slice before the time-out of their attempt. */
  answers: number;
  /** Attempts that reached the VM in the slice. */
  arrivals: number;
}

/**
 * The simulated backend server: 20 cores and 10 ms of work serve 2,000 calls a second. It refuses more connections than
 * it declares.
 */
export const BACKEND = {
  cores: 20,
  slots: 40,
  connections: 600,
  queue: 400,
  meanWorkMs: 10,
} as const;

/** Calls a second that the backend server can serve. */
export const CAPACITY_PER_S = (BACKEND.cores * 1000) / BACKEND.meanWorkMs;

export const SLICE_MS = 250;

/** Callers end an attempt after `timeoutMs`, and make no new attempt after `patienceMs` or `attempts` attempts. */
export const CALLER = { timeoutMs: 300, patienceMs: 1500, attempts: 10 } as const;
