import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** An HTTP server on a free port of 127.0.0.1, for the time of a test. */
export class StandInServer {
  readonly #server: Server;

  /** @param handle - Answers a request, with its whole body. */
  constructor(handle: (incoming: IncomingMessage, outgoing: ServerResponse, body: Buffer) => void) {
    this.#server = createServer((incoming, outgoing) => {
      const chunks: Buffer[] = [];
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
      incoming.on('end', () => handle(incoming, outgoing, Buffer.concat(chunks)));
    });
  }

  /** Begins to listen and returns the address as `IP:port`. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
  }
}
