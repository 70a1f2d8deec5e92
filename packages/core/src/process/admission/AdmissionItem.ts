import type { Refusal } from '../../request/index.js';

/** One call that waits for or holds a slot of the backend server. */
export interface AdmissionItem {
  readonly callId: string;
  readonly workspace: string;
  /** Weight of the workspace inside its class. */
  readonly weight: number;
  /** Priority class, 0 (highest) to 3. */
  readonly priority: number;
  /** Cost of the route; 1 is an average call. */
  readonly cost: number;
  /** Deadline in monotonic milliseconds. */
  readonly deadlineMs: number;
  /** The call may be cancelled while it runs and run again elsewhere. */
  readonly repeatable: boolean;
  /** The call may crash the backend server, so it runs alone. */
  readonly suspect: boolean;
  /** Time of arrival at this node in monotonic milliseconds. */
  readonly arrivedMs: number;
}

/** What is to be done with a call. */
export type AdmissionDecision =
  | { readonly kind: 'run'; readonly callId: string }
  /** The call never ran. */
  | { readonly kind: 'refuse'; readonly callId: string; readonly refusal: Refusal }
  /** The call runs; cancel it at the backend server and report `cancelled` to `finish`. */
  | { readonly kind: 'preempt'; readonly callId: string };

/** How a run ended. `shed`: the backend server refused it without running it. */
export type RunOutcome = 'answered' | 'shed' | 'failed' | 'cancelled';

/** State of the backend server as its node sees it. */
export type BackendState = 'up' | 'down' | 'draining';

/** Result of the cancellation of a call. */
export type CancelResult = 'dequeued' | 'running' | 'absent';

/** Fraction of the calls of one workspace that is admitted in the lowest admitted class. */
export interface WorkspaceFraction {
  readonly workspace: string;
  readonly fraction: number;
}

/** Lowest admitted class and what is admitted of it; the classes above it are admitted completely. */
export interface QueueAdmissionLevel {
  readonly lowestClass: number;
  /** Admitted fraction of the workspaces that are not listed. */
  readonly fraction: number;
  /** Workspaces over their fair share, at most `LEVEL_WORKSPACES`. */
  readonly workspaces: readonly WorkspaceFraction[];
}

/** Load of the queue and the backend server. */
export interface QueueLoad {
  readonly inFlight: number;
  readonly queued: number;
  readonly limit: number;
}
