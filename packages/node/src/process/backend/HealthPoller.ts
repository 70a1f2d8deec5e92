import type { node } from '@tanagerpond/core';
import { Client } from 'undici';
import * as z from 'zod';

/** Options of the poller. */
export interface HealthPollerOptions {
  /** `IP:port` of the backend server. */
  readonly address: string;
  readonly publish: (message: node.NodeMessage) => void;
  /** Time between two polls, in milliseconds. */
  readonly intervalMs?: number;
}

type HealthState = Extract<node.NodeMessage, { kind: 'backendHealth' }>['state'];

const POLL_MS = 500;

/** Time limit of one poll, in milliseconds. */
const ANSWER_LIMIT_MS = 1_000;

/** Largest answer of the health endpoint, in bytes. */
const ANSWER_BYTES = 4096;

const healthSchema = z.object({ state: z.enum(['healthy', 'draining']) });

/** Asks the backend server for its health, on a connection of its own. */
export class HealthPoller {
  readonly #options: HealthPollerOptions;

  readonly #client: Client;

  #timer: NodeJS.Timeout | undefined;

  #stopped = false;

  /** @param options - Address of the backend server and where its health goes. */
  constructor(options: HealthPollerOptions) {
    this.#options = options;
    this.#client = new Client(`http://${options.address}`, {
      connect: { timeout: ANSWER_LIMIT_MS },
      maxResponseSize: ANSWER_BYTES,
    });
  }

  /** Begins to poll. */
  start(): void {
    void this.#poll();
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
    this.#timer = setTimeout(() => {
      void this.#poll();
    }, this.#options.intervalMs ?? POLL_MS);
  }

  async #read(): Promise<HealthState> {
    try {
      const answer = await this.#client.request({
        path: '/health',
        method: 'GET',
        signal: AbortSignal.timeout(ANSWER_LIMIT_MS),
      });
      const parsed = healthSchema.safeParse(await answer.body.json());
      return answer.statusCode === 200 && parsed.success ? parsed.data.state : 'unreachable';
    } catch {
      return 'unreachable';
    }
  }
}
