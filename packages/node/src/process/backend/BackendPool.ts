import { identity } from '@tanagerpond/core';
import type { node } from '@tanagerpond/core';
import { Pool } from 'undici';
import type { BackendAdapter } from '../../ports/index.js';
import type { BodyStore, BodyReference } from '../bodies/index.js';
import { MAX_ANSWER_HEAD_BYTES } from '../http/index.js';
import type { Counters } from '../metrics/index.js';
import { BackendExchange } from './BackendExchange.js';
import { createBackendConnector } from './createBackendConnector.js';

/** Options of a backend pool. */
export interface BackendPoolOptions {
  /** `IP:port` of the backend server. */
  readonly address: string;
  readonly connections: number;
  /** Time limit for opening a connection, in milliseconds. */
  readonly connectLimitMs: number;
  readonly adapter: BackendAdapter;
  readonly store: BodyStore;
  /** Returns the monotonic time in milliseconds. */
  readonly now: () => number;
  readonly counters: Counters;
  readonly publish: (message: node.NodeMessage) => void;
}

type BackendCall = Extract<node.NodeCommand, { kind: 'callBackend' }>;

/** Headers that are not forwarded to the backend server: the address that the caller used, and the caller's key. */
const REMOVED_HEADERS: ReadonlySet<string> = new Set(['host', 'authorization']);

/** Pool of HTTP/1.1 connections to the backend server. Never sends a request twice. */
export class BackendPool {
  readonly #options: BackendPoolOptions;

  readonly #pool: Pool;

  readonly #exchanges = new Map<string, BackendExchange>();

  /** @param options - Address, limits, and the callback that receives the results. */
  constructor(options: BackendPoolOptions) {
    this.#options = options;
    this.#pool = new Pool(`http://${options.address}`, {
      connections: options.connections,
      pipelining: 1,
      connect: createBackendConnector(options.connectLimitMs),
      maxHeaderSize: MAX_ANSWER_HEAD_BYTES,
      // Each call has a time limit of its own, so those of the library are turned off.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /**
   * Sends a request to the backend server; the result is published as a `backendResult` message.
   * @param call - Command of the decision engine.
   * @param body - Body of the request; released when the result is known.
   */
  call(call: BackendCall, body: BodyReference): void {
    const { callId, method, target, timeoutMs, maxAnswer } = call;
    const { store, counters, publish, adapter, now } = this.#options;
    const headers = adapter.writeRequest(
      identity
        .removeConnectionHeaders(call.headers)
        .filter((header) => !REMOVED_HEADERS.has(header[0])),
    );
    const exchange: BackendExchange = new BackendExchange({
      callId,
      method,
      sent: headers,
      adapter,
      timeoutMs,
      maxAnswer,
      store,
      now,
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
   * Cancels a request and closes the connection that carries it.
   * @param callId - Call in progress; an unknown id has no effect.
   */
  cancel(callId: string): void {
    this.#exchanges.get(callId)?.cancel();
  }

  /** Number of requests in progress. */
  get inFlight(): number {
    return this.#exchanges.size;
  }

  /** Cancels the requests in progress and closes the connections. */
  async [Symbol.asyncDispose](): Promise<void> {
    [...this.#exchanges.values()].forEach((exchange) => exchange.cancel());
    await this.#pool.destroy();
  }
}
