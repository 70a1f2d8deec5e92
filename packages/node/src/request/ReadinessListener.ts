import { createServer, type Server } from 'node:http';
import { startListening, stopListening } from '../connection/index.js';

const SERVING_STATUS = 200;

const NOT_SERVING_STATUS = 503;

/** HTTP listener for readiness probes: answers 200 while the node serves callers and 503 otherwise. */
export class ReadinessListener {
  readonly #server: Server;

  /** @param isServing - Called for each request; returns whether the node serves callers. */
  constructor(isServing: () => boolean) {
    this.#server = createServer((_incoming, outgoing) => {
      outgoing.writeHead(isServing() ? SERVING_STATUS : NOT_SERVING_STATUS).end();
    });
  }

  /**
   * Starts listening.
   * @param host - IP address.
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
}
