import type { RunOutcome } from './AdmissionItem.js';

/** How one run ended, its latency in milliseconds, and the numbers of running and queued calls when it ended. */
export interface RunSample {
  readonly outcome: RunOutcome;
  readonly latencyMs: number;
  readonly inFlight: number;
  readonly queued: number;
}

/** Limit of the calls that run on a backend server at once. */
export interface SlotLimit {
  /** Changes the declared number of slots. */
  configure(slots: number): void;
  /** Resets what was learned, after the backend server has been down. */
  reset(): void;
  /** Returns the present limit, at least 1. */
  read(): number;
  /** Records a run that has ended; `nowMs` is monotonic. */
  record(sample: RunSample, nowMs: number): void;
  /** Returns the state of the limit for the state dump. */
  snapshot(): object;
}
