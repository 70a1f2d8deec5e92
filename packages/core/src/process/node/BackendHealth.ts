import type { BackendResult, NodeMessage } from './NodeMessage.js';

/** Time for which a failed call makes a report of "unreachable" credible, in milliseconds. */
const FAILURE_MEMORY_MS = 5_000;

type HealthState = Extract<NodeMessage, { kind: 'backendHealth' }>['state'];

/** What the health reports of a backend server are worth. They lag and may mislead, so results of calls go first. */
export class BackendHealth {
  #failedMs: number | undefined;

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
    }
  }

  /**
   * Decides the state of the backend server from a report.
   * @param report - State that the health endpoint tells; `unreachable` when it does not answer.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The new state, or `undefined` when the report is not to be believed.
   */
  decide(report: HealthState, nowMs: number): 'up' | 'down' | 'draining' | undefined {
    if (report === 'draining') {
      return 'draining';
    }
    if (report === 'healthy') {
      return 'up';
    }
    const failedLately = this.#failedMs !== undefined && nowMs - this.#failedMs < FAILURE_MEMORY_MS;
    return failedLately ? 'down' : undefined;
  }
}
