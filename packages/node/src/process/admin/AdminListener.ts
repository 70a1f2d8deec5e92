import { createServer, type Server } from 'node:http';
import { startListening, stopListening } from '../../connection/index.js';
import type { createAdminApp } from './createAdminApp.js';

/** Options of the admin listener. */
export interface AdminListenerOptions {
  /** State dump; without secrets. */
  readonly readState: () => object;
  /** Prometheus text. */
  readonly renderMetrics: () => Promise<string>;
  readonly isDraining: () => boolean;
  readonly drain: () => void;
}

/**
 * HTTP listener for operators, on loopback. Most processes are never asked, so the pages and their libraries are loaded at
 * the first request.
 */
export class AdminListener {
  readonly #options: AdminListenerOptions;

  readonly #server: Server = createServer((incoming, outgoing) => {
    this.#app ??= this.#loadApp();
    void this.#app.then(
      (app) => app(incoming, outgoing),
      (error: unknown) => outgoing.destroy(error instanceof Error ? error : undefined),
    );
  });

  #app: Promise<ReturnType<typeof createAdminApp>> | undefined;

  /** @param options - What the listener shows and starts. */
  constructor(options: AdminListenerOptions) {
    this.#options = options;
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

  async #loadApp(): Promise<ReturnType<typeof createAdminApp>> {
    const loaded = await import('./createAdminApp.js');
    return loaded.createAdminApp(this.#options);
  }
}
