import type { node } from '@tanagerpond/core';
import { Client } from 'undici';
import type { BackendAdapter, BackendHealthState } from '../../ports/index.js';
import { MAX_ANSWER_HEAD_BYTES } from '../http/index.js';
import { createBackendConnector } from './createBackendConnector.js';

/** Options of the poller. */
export interface HealthPollerOptions {
  /** `IP:port` of the backend server. */
  readonly address: string;
  readonly adapter: BackendAdapter;
  readonly publish: (message: node.NodeMessage) => void;
  /** `always` polls without pause; `afterFailure` polls from a failed exchange until the backend server is healthy. */
  readonly mode: 'always' | 'afterFailure';
  /** Time between two polls, in milliseconds. */
  readonly intervalMs?: number;
}

const POLL_MS = 500;

/** Time limit of one poll, in milliseconds. */
const ANSWER_LIMIT_MS = 1_000;

/** Largest answer of the health endpoint, in bytes. */
const ANSWER_BYTES = 4096;

/** Asks the backend server for its health, on a connection of its own. */
export class HealthPoller {
  readonly #options: HealthPollerOptions;

  readonly #client: Client;

  #timer: NodeJS.Timeout | undefined;

  #polling = false;

  #stopped = false;

  /** @param options - Address of the backend server and where its health goes. */
  constructor(options: HealthPollerOptions) {
    this.#options = options;
    this.#client = new Client(`http://${options.address}`, {
      connect: createBackendConnector(ANSWER_LIMIT_MS),
      maxHeaderSize: MAX_ANSWER_HEAD_BYTES,
      maxResponseSize: ANSWER_BYTES,
    });
  }

  /** Begins to poll, in the mode `always`. */
  start(): void {
    if (this.#options.mode === 'always') {
      this.check();
    }
  }

  /** Polls until the backend server is healthy; no effect while polls are under way. */
  check(): void {
    if (!this.#polling && !this.#stopped) {
      this.#polling = true;
      void this.#poll();
    }
  }

  /** Stops polling. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopped = true;
    clearTimeout(this.#timer);
    await this.#client.destroy();
  }

  async #poll(): Promise<void> {
    const state = await this.#read();
    if (this.#stopped) {
      return;
    }
    this.#options.publish({ kind: 'backendHealth', state });
    if (this.#options.mode === 'afterFailure' && state === 'healthy') {
      this.#polling = false;
      return;
    }
    this.#timer = setTimeout(() => {
      void this.#poll();
    }, this.#options.intervalMs ?? POLL_MS);
  }

  async #read(): Promise<BackendHealthState> {
    const { adapter: dialect } = this.#options;
    try {
      const answer = await this.#client.request({
        path: dialect.healthPath,
        method: 'GET',
        signal: AbortSignal.timeout(ANSWER_LIMIT_MS),
      });
      return dialect.readHealth(answer.statusCode, await answer.body.text());
    } catch {
      return 'unreachable';
    }
  }
}
