import type { RunOutcome } from './AdmissionItem.js';

/** How one run ended and what was under way then; times in milliseconds. */
export interface RunSample {
  readonly outcome: RunOutcome;
  readonly latencyMs: number;
  readonly inFlight: number;
  readonly queued: number;
}

/** Number of calls that a backend server is given at once. */
export interface SlotLimit {
  /** Takes the declared number of slots. */
  configure(slots: number): void;
  /** Forgets what was learned, after the backend server was down. */
  reset(): void;
  /** The present limit, at least 1. */
  read(): number;
  /** Learns from a run that has ended; `nowMs` is monotonic. */
  record(sample: RunSample, nowMs: number): void;
  /** Shows the limit for the state dump. */
  snapshot(): object;
}
