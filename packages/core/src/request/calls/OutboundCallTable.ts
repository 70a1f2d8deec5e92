import type { OutboundCall } from './OutboundCall.js';

/** Entry calls by request id and by the id of their present attempt. */
export class OutboundCallTable {
  readonly #byRequest = new Map<string, OutboundCall>();

  readonly #byAttempt = new Map<string, OutboundCall>();

  /** Number of calls that are not done. */
  get size(): number {
    return this.#byRequest.size;
  }

  /** Adds a call. */
  add(call: OutboundCall): void {
    this.#byRequest.set(call.requestId, call);
  }

  /** Makes a call findable by the id of its present attempt or ticket request. */
  addAttempt(attemptId: string, call: OutboundCall): void {
    this.#byAttempt.set(attemptId, call);
  }

  /** Forgets an attempt, so that a late answer to it finds nothing. */
  removeAttempt(attemptId: string): void {
    this.#byAttempt.delete(attemptId);
  }

  /** Finds a call by its request id. */
  find(requestId: string): OutboundCall | undefined {
    return this.#byRequest.get(requestId);
  }

  /** Finds a call by the id of its present attempt. */
  findByAttempt(attemptId: string): OutboundCall | undefined {
    return this.#byAttempt.get(attemptId);
  }

  /** Forgets a call and its attempt. */
  remove(call: OutboundCall): void {
    this.#byRequest.delete(call.requestId);
    if (call.attempt !== undefined) {
      this.#byAttempt.delete(call.attempt.callId);
    }
  }

  /** Lists the calls, oldest first. */
  list(): readonly OutboundCall[] {
    return [...this.#byRequest.values()];
  }
}
