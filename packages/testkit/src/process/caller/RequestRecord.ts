/**
 * How a request ended for its caller: `whole` is a complete and correct answer; `refusedNotRun` means that it was
 * reported as not run or could not be sent; `unknown` means that it may have run; `failed` is a complete answer in
 * which the backend server reports a failure; `wrong` is an answer that is incomplete or belongs to another request.
 */
export type RequestEnd = 'whole' | 'refusedNotRun' | 'unknown' | 'failed' | 'wrong';

/** How one attempt ended. */
export interface AttemptResult {
  readonly end: RequestEnd;
  /** HTTP status; 0 if there was no answer. */
  readonly status: number;
  /** Reason of a refusal, or an error code of the connection; empty if neither applies. */
  readonly reason: string;
  /** Cause given by the refusal or by the failed backend server; empty if none was given. */
  readonly detail: string;
  /** Ticket that came with the answer. */
  readonly ticket?: string;
}

/** A request that has ended, with the result of its last attempt. Times are monotonic milliseconds. */
export interface RequestRecord {
  readonly requestId: string;
  readonly workspace: string;
  readonly route: string;
  readonly startedMs: number;
  readonly endedMs: number;
  readonly end: RequestEnd;
  readonly status: number;
  readonly reason: string;
  /** Cause given by the last refusal or by the failed backend server; empty if none was given. */
  readonly detail: string;
  readonly attempts: number;
  /** Ids of the attempts that were answered as not run. */
  readonly notRunAttempts: readonly string[];
}
