import { createServer, type Server } from 'node:http';
import { startListening, stopListening } from '../connection/index.js';

const SERVING_STATUS = 200;

const NOT_SERVING_STATUS = 503;

/** HTTP listener that tells a platform whether the node serves callers. */
export class ReadinessListener {
  readonly #server: Server;

  /** @param isServing - Asked on each request. */
  constructor(isServing: () => boolean) {
    this.#server = createServer((_incoming, outgoing) => {
      outgoing.writeHead(isServing() ? SERVING_STATUS : NOT_SERVING_STATUS).end();
    });
  }

  /**
   * Begins to listen.
   * @param host - IP address.
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
