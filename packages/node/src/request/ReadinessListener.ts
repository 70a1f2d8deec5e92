import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createAdaptorServer } from '@hono/node-server';
import { Hono } from 'hono';

const SERVING_STATUS = 200;

const NOT_SERVING_STATUS = 503;

/** HTTP listener that tells a platform whether the node serves callers. */
export class ReadinessListener {
  readonly #server: Server;

  /** @param isServing - Asked on each request. */
  constructor(isServing: () => boolean) {
    const app = new Hono();
    app.get('*', (context) =>
      context.body(null, isServing() ? SERVING_STATUS : NOT_SERVING_STATUS),
    );
    this.#server = createAdaptorServer({
      fetch: app.fetch,
      overrideGlobalObjects: false,
    }) as Server;
  }

  /**
   * Begins to listen.
   * @param host - IP address.
   * @param port - Port; 0 for any free one.
   * @returns The port in use. Rejects when the address cannot be used.
   */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => resolve((this.#server.address() as AddressInfo).port));
    });
  }

  /** Stops listening and closes every connection. */
  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    this.#server.closeAllConnections();
    await closed;
  }
}
