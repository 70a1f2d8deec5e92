/**
 * How a request ended for its caller. `failed` is a whole answer with which the backend server reports a failure of
 * its own; `wrong` is an answer that is not whole, or another request's.
 */
export type RequestEnd = 'whole' | 'refusedNotRun' | 'unknown' | 'failed' | 'wrong';

/** How one attempt ended. */
export interface AttemptResult {
  readonly end: RequestEnd;
  readonly status: number;
  /** Reason of a refusal, or an error code of the connection. */
  readonly reason: string;
  /** What the refusal or the failed backend server names as its cause. */
  readonly detail: string;
  /** Ticket that came with the answer. */
  readonly ticket?: string;
}

/** One request of a caller from its first attempt to its end. Times are monotonic milliseconds. */
export interface RequestRecord {
  readonly requestId: string;
  readonly workspace: string;
  readonly route: string;
  readonly startedMs: number;
  readonly endedMs: number;
  readonly end: RequestEnd;
  readonly status: number;
  readonly reason: string;
  /** What the refusal or the failed backend server names as its cause. */
  readonly detail: string;
  readonly attempts: number;
  /** Ids of the attempts that the system reported as not run. */
  readonly notRunAttempts: readonly string[];
}
