import type { InboundCall } from './InboundCall.js';

/** Calls of the own backend server by call id, by token and by once id. */
export class InboundCallTable {
  readonly #byId = new Map<string, InboundCall>();

  readonly #byToken = new Map<string, InboundCall>();

  readonly #byOnceId = new Map<string, InboundCall>();

  /** Number of calls that are queued or run. */
  get size(): number {
    return this.#byId.size;
  }

  /** Adds a call. */
  add(call: InboundCall): void {
    this.#byId.set(call.callId, call);
    this.#byToken.set(call.token, call);
    if (call.once !== undefined) {
      this.#byOnceId.set(call.once.id, call);
    }
  }

  /** Forgets a call. */
  remove(call: InboundCall): void {
    this.#byId.delete(call.callId);
    this.#byToken.delete(call.token);
    if (call.once !== undefined) {
      this.#byOnceId.delete(call.once.id);
    }
  }

  /** Finds a call by its id. */
  find(callId: string): InboundCall | undefined {
    return this.#byId.get(callId);
  }

  /** Finds the running call that a token names. */
  findByToken(token: string): InboundCall | undefined {
    return this.#byToken.get(token);
  }

  /** Finds the call that a once id names. */
  findByOnceId(onceId: string): InboundCall | undefined {
    return this.#byOnceId.get(onceId);
  }

  /** Lists the calls, oldest first. */
  list(): readonly InboundCall[] {
    return [...this.#byId.values()];
  }
}
