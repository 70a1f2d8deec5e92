import type { EntryCall } from './EntryCall.js';

/** Entry calls by request id and by the id of their present attempt. */
export class EntryTable {
  readonly #byRequest = new Map<string, EntryCall>();

  readonly #byAttempt = new Map<string, EntryCall>();

  /** Number of calls that are not done. */
  get size(): number {
    return this.#byRequest.size;
  }

  /** Adds a call. */
  add(call: EntryCall): void {
    this.#byRequest.set(call.requestId, call);
  }

  /** Makes a call findable by the id of its present attempt or ticket request. */
  addAttempt(attemptId: string, call: EntryCall): void {
    this.#byAttempt.set(attemptId, call);
  }

  /** Forgets an attempt, so that a late answer to it finds nothing. */
  removeAttempt(attemptId: string): void {
    this.#byAttempt.delete(attemptId);
  }

  /** Finds a call by its request id. */
  find(requestId: string): EntryCall | undefined {
    return this.#byRequest.get(requestId);
  }

  /** Finds a call by the id of its present attempt. */
  findByAttempt(attemptId: string): EntryCall | undefined {
    return this.#byAttempt.get(attemptId);
  }

  /** Forgets a call and its attempt. */
  remove(call: EntryCall): void {
    this.#byRequest.delete(call.requestId);
    if (call.attempt !== undefined) {
      this.#byAttempt.delete(call.attempt.callId);
    }
  }

  /** Lists the calls, oldest first. */
  list(): readonly EntryCall[] {
    return [...this.#byRequest.values()];
  }
}
