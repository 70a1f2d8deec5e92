import type { OutboundCall } from './OutboundCall.js';

/** Open outbound calls, by request id and by the id of their current attempt or ticket request. */
export class OutboundCallTable {
  readonly #byRequest = new Map<string, OutboundCall>();

  readonly #byAttempt = new Map<string, OutboundCall>();

  /** Number of open calls. */
  get size(): number {
    return this.#byRequest.size;
  }

  /** Adds a call. */
  add(call: OutboundCall): void {
    this.#byRequest.set(call.requestId, call);
  }

  /** Adds the id of the current attempt or ticket request of a call to the index. */
  addAttempt(attemptId: string, call: OutboundCall): void {
    this.#byAttempt.set(attemptId, call);
  }

  /** Removes an attempt from the index, so that a late answer to it matches no call. */
  removeAttempt(attemptId: string): void {
    this.#byAttempt.delete(attemptId);
  }

  /** Finds a call by its request id. */
  find(requestId: string): OutboundCall | undefined {
    return this.#byRequest.get(requestId);
  }

  /** Finds a call by the id of its current attempt or ticket request. */
  findByAttempt(attemptId: string): OutboundCall | undefined {
    return this.#byAttempt.get(attemptId);
  }

  /** Removes a call and its current attempt. */
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
