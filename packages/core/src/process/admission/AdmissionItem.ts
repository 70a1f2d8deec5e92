import type { Refusal } from '../../request/index.js';

/** A call that is queued for the backend server or runs on it. */
export interface AdmissionItem {
  readonly callId: string;
  readonly workspace: string;
  /** Weight of the workspace in the fair queue of its priority class. */
  readonly weight: number;
  /** Priority class, 0 (highest) to 3. */
  readonly priority: number;
  /** Relative cost of the route; 1 is an average call. */
  readonly cost: number;
  /** Deadline in monotonic milliseconds. */
  readonly deadlineMs: number;
  /** The call may be cancelled while it runs, and may run again on another VM. */
  readonly repeatable: boolean;
  /** The call is suspected of crashing the backend server, so it runs with no other call beside it. */
  readonly suspect: boolean;
  /** Time of arrival at this node in monotonic milliseconds. */
  readonly arrivedMs: number;
}

/** What the caller of the queue must do with a call. */
export type AdmissionDecision =
  | { readonly kind: 'run'; readonly callId: string }
  /** Refuse the call; it has not run. */
  | { readonly kind: 'refuse'; readonly callId: string; readonly refusal: Refusal }
  /** Cancel the running call at the backend server, then pass `cancelled` to `finish`. */
  | { readonly kind: 'preempt'; readonly callId: string };

/** How a run ended. `shed`: the backend server itself refused the call without running it. */
export type RunOutcome = 'answered' | 'shed' | 'failed' | 'cancelled';

/** State of the backend server as its node sees it. */
export type BackendState = 'up' | 'down' | 'draining';

/** Where a cancelled call was: removed from the queue, still running until `finish`, or not known. */
export type CancelResult = 'dequeued' | 'running' | 'absent';

/** Fraction of the calls of one workspace that is admitted in the lowest admitted class. */
export interface WorkspaceFraction {
  readonly workspace: string;
  readonly fraction: number;
}

/**
 * What callers should still send. Classes more important than the lowest admitted class are admitted completely, that
 * class in part, and less important ones not at all. Class numbers run from 0 (most important) to 3.
 */
export interface QueueAdmissionLevel {
  readonly lowestClass: number;
  /** Admitted fraction of the lowest admitted class, for workspaces that are not listed. */
  readonly fraction: number;
  /** Workspaces over their fair share, which have a lower fraction; at most `LEVEL_WORKSPACES`. */
  readonly workspaces: readonly WorkspaceFraction[];
}

/** Numbers of running and queued calls, and the limit of running calls. */
export interface QueueLoad {
  readonly inFlight: number;
  readonly queued: number;
  readonly limit: number;
  /** Rate limit that the backend server names, in calls a second; 0 if none. */
  readonly rateLimit: number;
}
