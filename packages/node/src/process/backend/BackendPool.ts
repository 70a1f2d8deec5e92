import { identity } from '@tanagerpond/core';
import type { node } from '@tanagerpond/core';
import { Pool } from 'undici';
import type { BackendAdapter } from '../../ports/index.js';
import type { BodyStore, BodyReference } from '../bodies/index.js';
import { MAX_ANSWER_HEAD_BYTES } from '../http/index.js';
import type { Counters } from '../metrics/index.js';
import { BackendExchange } from './BackendExchange.js';
import { createBackendConnector } from './createBackendConnector.js';

/** Options of the pool. */
export interface BackendPoolOptions {
  /** `IP:port` of the backend server. */
  readonly address: string;
  readonly connections: number;
  /** Time limit of a new connection, in milliseconds. */
  readonly connectLimitMs: number;
  readonly adapter: BackendAdapter;
  readonly store: BodyStore;
  readonly counters: Counters;
  readonly publish: (message: node.NodeMessage) => void;
}

type BackendCall = Extract<node.NodeCommand, { kind: 'callBackend' }>;

/** Headers that never reach a backend server: the address of the caller's listener and the caller's key. */
const REMOVED_HEADERS: ReadonlySet<string> = new Set(['host', 'authorization']);

/** Connections to the backend server. Never sends a request twice. */
export class BackendPool {
  readonly #options: BackendPoolOptions;

  readonly #pool: Pool;

  readonly #exchanges = new Map<string, BackendExchange>();

  /** @param options - Address, limits and where results go. */
  constructor(options: BackendPoolOptions) {
    this.#options = options;
    this.#pool = new Pool(`http://${options.address}`, {
      connections: options.connections,
      pipelining: 1,
      connect: createBackendConnector(options.connectLimitMs),
      maxHeaderSize: MAX_ANSWER_HEAD_BYTES,
      // The time limit of a call is its deadline, not one of the library.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /**
   * Sends a request; the result comes as a `backendResult` message.
   * @param call - Command of the decisions.
   * @param body - Body of the request; released with the result.
   */
  call(call: BackendCall, body: BodyReference): void {
    const { callId, method, target, timeoutMs, maxAnswer } = call;
    const { store, counters, publish, adapter: dialect } = this.#options;
    const headers = dialect.writeRequest(
      identity
        .removeConnectionHeaders(call.headers)
        .filter((header) => !REMOVED_HEADERS.has(header[0])),
    );
    const exchange: BackendExchange = new BackendExchange({
      callId,
      method,
      sent: headers,
      adapter: dialect,
      timeoutMs,
      maxAnswer,
      store,
      onResult: (result) => {
        if (this.#exchanges.get(callId) === exchange) {
          this.#exchanges.delete(callId);
        }
        body.release();
        counters.count(`backend_${result.kind}`);
        publish({ kind: 'backendResult', callId, result });
      },
    });
    this.#exchanges.set(callId, exchange);
    const content = body.bytes.length > 0 ? body.bytes : null;
    try {
      this.#pool.dispatch(
        { path: target, method, headers: headers.flat(), body: content },
        exchange,
      );
    } catch {
      exchange.onResponseError();
    }
  }

  /**
   * Ends a request; the connection to the backend server is closed.
   * @param callId - Call in progress; an unknown one has no effect.
   */
  cancel(callId: string): void {
    this.#exchanges.get(callId)?.cancel();
  }

  /** Requests in progress. */
  get inFlight(): number {
    return this.#exchanges.size;
  }

  /** Ends the requests in progress and closes the connections. */
  async [Symbol.asyncDispose](): Promise<void> {
    [...this.#exchanges.values()].forEach((exchange) => exchange.cancel());
    await this.#pool.destroy();
  }
}
