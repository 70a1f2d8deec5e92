import type { node } from '@tanagerpond/core';
import { Client } from 'undici';
import type { BackendAdapter, BackendHealthState } from '../../ports/index.js';
import { MAX_ANSWER_HEAD_BYTES } from '../http/index.js';
import { createBackendConnector } from './createBackendConnector.js';

/** Options of a health poller. */
export interface HealthPollerOptions {
  /** `IP:port` of the backend server. */
  readonly address: string;
  readonly adapter: BackendAdapter;
  readonly publish: (message: node.NodeMessage) => void;
  /** `always` keeps polling; `afterFailure` polls from a failed request until the backend server is healthy. */
  readonly mode: 'always' | 'afterFailure';
  /** Pause after each poll, in milliseconds; 500 by default. */
  readonly intervalMs?: number;
}

const POLL_MS = 500;

/** Time limit of one poll, in milliseconds. */
const ANSWER_LIMIT_MS = 1_000;

/** Maximum size of the health endpoint's answer, in bytes. */
const MAX_ANSWER_BYTES = 4096;

/** Polls the health endpoint of the backend server over a dedicated connection. */
export class HealthPoller {
  readonly #options: HealthPollerOptions;

  readonly #client: Client;

  #timer: NodeJS.Timeout | undefined;

  #polling = false;

  #stopped = false;

  #path: string;

  /** @param options - Address of the backend server, and the callback that receives its health. */
  constructor(options: HealthPollerOptions) {
    this.#options = options;
    this.#path = options.adapter.healthPath;
    this.#client = new Client(`http://${options.address}`, {
      connect: createBackendConnector(ANSWER_LIMIT_MS),
      maxHeaderSize: MAX_ANSWER_HEAD_BYTES,
      maxResponseSize: MAX_ANSWER_BYTES,
    });
  }

  /** Starts polling in the mode `always`; has no effect in the mode `afterFailure`. */
  start(): void {
    if (this.#options.mode === 'always') {
      this.check();
    }
  }

  /** Starts polling; has no effect while the poller is polling or after it was stopped. */
  check(): void {
    if (!this.#polling && !this.#stopped) {
      this.#polling = true;
      void this.#poll();
    }
  }

  /**
   * Changes the path of the health endpoint from the next poll on.
   * @param path - Path; that of the adapter if undefined.
   */
  setPath(path: string | undefined): void {
    this.#path = path ?? this.#options.adapter.healthPath;
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
    const { adapter } = this.#options;
    try {
      const answer = await this.#client.request({
        path: this.#path,
        method: 'GET',
        signal: AbortSignal.timeout(ANSWER_LIMIT_MS),
      });
      return adapter.readHealth(answer.statusCode, await answer.body.text());
    } catch {
      return 'unreachable';
    }
  }
}
