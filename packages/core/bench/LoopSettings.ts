/** Rates and slowdown of one part of a run. */
export interface LoopPhase {
  readonly durationMs: number;
  /** Calls a second of each workspace, as a multiple of the capacity. */
  readonly rates: readonly number[];
  readonly slowdown: number;
}

/** One run of the closed loop. */
export interface LoopSettings {
  readonly seed: number;
  readonly isProtected: boolean;
  /** Longest one-way time between an entry node and the VM; the nodes are spread evenly from 1.5 ms. */
  readonly longestDelayMs: number;
  readonly phases: readonly LoopPhase[];
  /** Fractions of the priority classes 0 to 3. */
  readonly classes: readonly number[];
}

/** Counts of the requests that began in one slice of time. */
export interface LoopSlice {
  readonly startMs: number;
  /** Requests begun and served, by workspace. */
  readonly begun: number[];
  readonly served: number[];
  /** Requests begun and served, by class. */
  readonly begunByClass: number[];
  readonly servedByClass: number[];
  /** Answers in time that arrived in the slice. */
  answers: number;
  /** Attempts that reached the VM in the slice. */
  arrivals: number;
}

/** The simulated backend server; it refuses more connections than it declares: 20 cores and 10 ms of work make 2,000 calls a second. */
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

/** Callers give up an attempt after this time and the request after `patienceMs`. */
export const CALLER = { timeoutMs: 300, patienceMs: 1500, attempts: 10 } as const;
