import type { BackendResult, NodeMessage } from './NodeMessage.js';

/** Time for which a failed call makes a report of "unreachable" credible, in milliseconds. */
const FAILURE_MEMORY_MS = 5_000;

type HealthState = Extract<NodeMessage, { kind: 'backendHealth' }>['state'];

/** State of a backend server as the node takes it. */
export type BackendState = 'up' | 'down' | 'draining';

/** A change of the state of a backend server, for log lines; times in milliseconds. */
export interface BackendChange {
  readonly state: BackendState;
  /** State before; absent at the first. */
  readonly former?: BackendState;
  /** Time for which the state before lasted; absent at the first. */
  readonly formerMs?: number;
  /** Time since the backend server last answered a call; absent before the first. */
  readonly lastAnswerAgeMs?: number;
}

/** What the health reports of a backend server are worth. They lag and may mislead, so results of calls go first. */
export class BackendHealth {
  #failedMs: number | undefined;

  #answeredMs: number | undefined;

  #state: BackendState | undefined;

  #sinceMs = 0;

  /**
   * Records the result of a call.
   * @param result - What the backend server did.
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

  /**
   * Decides the state of the backend server from a report.
   * @param report - State that the health endpoint tells; `unreachable` when it does not answer.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The new state, or `undefined` when the report is not to be believed.
   */
  decide(report: HealthState, nowMs: number): BackendState | undefined {
    if (report === 'draining') {
      return 'draining';
    }
    if (report === 'healthy') {
      return 'up';
    }
    const failedLately = this.#failedMs !== undefined && nowMs - this.#failedMs < FAILURE_MEMORY_MS;
    return failedLately ? 'down' : undefined;
  }

  /**
   * Records the state that was decided.
   * @param state - The state.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The change; undefined when there is none. A server that is up at the first report is none.
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
