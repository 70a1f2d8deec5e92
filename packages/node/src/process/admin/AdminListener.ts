import type { Server } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import { Hono } from 'hono';
import { startListening, stopListening } from '../../connection/index.js';

/** Options of the admin listener. */
export interface AdminListenerOptions {
  /** State dump; without secrets. */
  readonly readState: () => object;
  /** Prometheus text. */
  readonly renderMetrics: () => Promise<string>;
  readonly isDraining: () => boolean;
  readonly drain: () => void;
}

/** Media type of the Prometheus text format. */
const METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** HTTP listener for operators, on loopback. */
export class AdminListener {
  readonly #server: Server;

  /** @param options - What the listener shows and starts. */
  constructor(options: AdminListenerOptions) {
    const app = new Hono();
    app.get('/state', (context) => context.json(options.readState()));
    app.get('/metrics', async (context) =>
      context.text(await options.renderMetrics(), 200, { 'content-type': METRICS_TYPE }),
    );
    app.get('/health', (context) =>
      context.json({ state: options.isDraining() ? 'draining' : 'healthy' }),
    );
    app.post('/drain', (context) => {
      options.drain();
      return context.json({ state: 'draining' }, 202);
    });
    this.#server = createAdaptorServer({
      fetch: app.fetch,
      overrideGlobalObjects: false,
    }) as Server;
  }

  /**
   * Begins to listen.
   * @param host - Loopback address.
   * @param port - Port; 0 for any free one.
   * @returns The port in use. Rejects when the address cannot be used.
   */
  listen(host: string, port: number): Promise<number> {
    return startListening(this.#server, host, port);
  }

  /** Stops listening and closes every connection. */
  [Symbol.asyncDispose](): Promise<void> {
    return stopListening(this.#server, () => this.#server.closeAllConnections());
  }
}
