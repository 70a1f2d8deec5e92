import type { InboundCall } from './InboundCall.js';

/** Queued and running calls of the local backend server, by call id, token and id of the deduplication key. */
export class InboundCallTable {
  readonly #byId = new Map<string, InboundCall>();

  readonly #byToken = new Map<string, InboundCall>();

  readonly #byDeduplicationId = new Map<string, InboundCall>();

  /** Number of calls that are queued or running. */
  get size(): number {
    return this.#byId.size;
  }

  /** Adds a call. */
  add(call: InboundCall): void {
    this.#byId.set(call.callId, call);
    this.#byToken.set(call.token, call);
    if (call.deduplicationKey !== undefined) {
      this.#byDeduplicationId.set(call.deduplicationKey.id, call);
    }
  }

  /** Removes a call. */
  remove(call: InboundCall): void {
    this.#byId.delete(call.callId);
    this.#byToken.delete(call.token);
    if (call.deduplicationKey !== undefined) {
      this.#byDeduplicationId.delete(call.deduplicationKey.id);
    }
  }

  /** Finds a call by its id. */
  find(callId: string): InboundCall | undefined {
    return this.#byId.get(callId);
  }

  /** Finds a call by the token that its backend server got with it. */
  findByToken(token: string): InboundCall | undefined {
    return this.#byToken.get(token);
  }

  /** Finds a call by the id of its deduplication key. */
  findByDeduplicationId(id: string): InboundCall | undefined {
    return this.#byDeduplicationId.get(id);
  }

  /** Lists the calls, oldest first. */
  list(): readonly InboundCall[] {
    return [...this.#byId.values()];
  }
}
