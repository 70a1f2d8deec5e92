import { createServer, type Server } from 'node:http';
import { startListening, stopListening } from '../../connection/index.js';
import type { createAdminApp } from './createAdminApp.js';

/** Data and actions that the admin listener offers. */
export interface AdminListenerOptions {
  /** Returns the state dump, which must not contain secrets. */
  readonly readState: () => object;
  /** Renders the metrics in the Prometheus text format. */
  readonly renderMetrics: () => Promise<string>;
  readonly isDraining: () => boolean;
  readonly drain: () => void;
}

/**
 * HTTP listener for operators, on a loopback address. The pages and their libraries are loaded on the first request,
 * because most processes never get one.
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

  /** @param options - Data and actions that the listener offers. */
  constructor(options: AdminListenerOptions) {
    this.#options = options;
  }

  /**
   * Starts listening.
   * @param host - Loopback address.
   * @param port - Port; 0 selects any free port.
   * @returns Resolves with the port in use; rejects when the address cannot be used.
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
