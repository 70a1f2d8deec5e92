import type { BackendResult, NodeMessage } from './NodeMessage.js';

/** Time after a failed call during which a report of "unreachable" is accepted. */
const FAILURE_WINDOW_MS = 5_000;

type HealthState = Extract<NodeMessage, { kind: 'backendHealth' }>['state'];

/** State of a backend server as decided by the node. */
export type BackendState = 'up' | 'down' | 'draining';

/** A change of the state of a backend server, for log lines; times in milliseconds. */
export interface BackendChange {
  readonly state: BackendState;
  /** Previous state; absent in the first change. */
  readonly former?: BackendState;
  /** Duration of the previous state; absent in the first change. */
  readonly formerMs?: number;
  /** Time since the backend server last answered a call; absent before the first answer. */
  readonly lastAnswerAgeMs?: number;
}

/**
 * Decides the state of the backend server from its health reports and the results of calls. Reports lag and may be
 * wrong, so a report of "unreachable" counts only if a call failed recently.
 */
export class BackendHealth {
  #failedMs: number | undefined;

  #answeredMs: number | undefined;

  #state: BackendState | undefined;

  #sinceMs = 0;

  /** Start of the backend server that the list named last; undefined if it has named none. */
  #listed: string | undefined;

  /** The start of the backend server that is leaving; `incarnation` is undefined if the list has named none. */
  #leaving: { readonly incarnation: string | undefined; hasEnded: boolean } | undefined;

  /**
   * Records the result of a call.
   * @param result - Result of the call.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordResult(result: BackendResult, nowMs: number): void {
    if (result.kind === 'notSent' || result.kind === 'broken') {
      this.#failedMs = nowMs;
      return;
    }
    if (result.kind === 'answered') {
      this.#failedMs = undefined;
      this.#answeredMs = nowMs;
    }
  }

  /** Returns whether the backend server has announced in an answer that it is leaving. */
  get isLeaving(): boolean {
    return this.#leaving !== undefined;
  }

  /**
   * Records that the backend server announced in an answer that it is leaving. Health reports that lag do not end this,
   * nor does a list that no longer names the VM.
   */
  recordLeaving(): void {
    this.#leaving ??= { incarnation: this.#listed, hasEnded: false };
  }

  /**
   * Records the start of the backend server in the list.
   * @param incarnation - Undefined if the list has none.
   * @returns True if another start than the leaving one is listed, which ends the leaving.
   */
  recordListed(incarnation: string | undefined): boolean {
    this.#listed = incarnation ?? this.#listed;
    const isReplaced = this.#leaving !== undefined && this.#leaving.incarnation !== this.#listed;
    this.#leaving = isReplaced ? undefined : this.#leaving;
    return isReplaced;
  }

  /**
   * Decides the state of the backend server from a report.
   * @param report - State reported by the health endpoint; `unreachable` if it does not answer.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The new state, or `undefined` if the report is ignored.
   */
  decide(report: HealthState, nowMs: number): BackendState | undefined {
    if (report === 'draining') {
      return 'draining';
    }
    if (report === 'healthy') {
      return this.#hasReturned() ? 'up' : 'draining';
    }
    this.#recordEnd();
    const hasRecentFailure =
      this.#failedMs !== undefined && nowMs - this.#failedMs < FAILURE_WINDOW_MS;
    return hasRecentFailure ? 'down' : undefined;
  }

  /** A leaving backend server that the list does not identify has returned if it was unreachable in between. */
  #hasReturned(): boolean {
    if (this.#leaving?.incarnation === undefined && this.#leaving?.hasEnded === true) {
      this.#leaving = undefined;
    }
    return this.#leaving === undefined;
  }

  #recordEnd(): void {
    if (this.#leaving !== undefined) {
      this.#leaving.hasEnded = true;
    }
  }

  /**
   * Records a decided state.
   * @param state - The new state.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The change, or undefined if there is none. A backend server that is up in the first report is not a
   * change.
   */
  recordState(state: BackendState, nowMs: number): BackendChange | undefined {
    const former = this.#state;
    if (former === state) {
      return undefined;
    }
    const formerMs = nowMs - this.#sinceMs;
    this.#state = state;
    this.#sinceMs = nowMs;
    if (former === undefined && state === 'up') {
      return undefined;
    }
    return {
      state,
      ...(former === undefined ? {} : { former, formerMs }),
      ...(this.#answeredMs === undefined ? {} : { lastAnswerAgeMs: nowMs - this.#answeredMs }),
    };
  }
}
