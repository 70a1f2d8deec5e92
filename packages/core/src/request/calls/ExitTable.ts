import type { ExitCall } from './ExitCall.js';

/** Calls of the own backend server by call id, by token and by once id. */
export class ExitTable {
  readonly #byId = new Map<string, ExitCall>();

  readonly #byToken = new Map<string, ExitCall>();

  readonly #byOnceId = new Map<string, ExitCall>();

  /** Number of calls that are queued or run. */
  get size(): number {
    return this.#byId.size;
  }

  /** Adds a call. */
  add(call: ExitCall): void {
    this.#byId.set(call.callId, call);
    this.#byToken.set(call.token, call);
    if (call.once !== undefined) {
      this.#byOnceId.set(call.once.id, call);
    }
  }

  /** Forgets a call. */
  remove(call: ExitCall): void {
    this.#byId.delete(call.callId);
    this.#byToken.delete(call.token);
    if (call.once !== undefined) {
      this.#byOnceId.delete(call.once.id);
    }
  }

  /** Finds a call by its id. */
  find(callId: string): ExitCall | undefined {
    return this.#byId.get(callId);
  }

  /** Finds the running call that a token names. */
  findByToken(token: string): ExitCall | undefined {
    return this.#byToken.get(token);
  }

  /** Finds the call that a once id names. */
  findByOnceId(onceId: string): ExitCall | undefined {
    return this.#byOnceId.get(onceId);
  }

  /** Lists the calls, oldest first. */
  list(): readonly ExitCall[] {
    return [...this.#byId.values()];
  }
}
