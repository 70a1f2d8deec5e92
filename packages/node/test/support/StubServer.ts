import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** HTTP server on a free port of 127.0.0.1 that a test uses in place of a backend server or a platform. */
export class StubServer {
  readonly #server: Server;

  /** @param handle - Answers a request when its whole body has arrived. */
  constructor(handle: (incoming: IncomingMessage, outgoing: ServerResponse, body: Buffer) => void) {
    this.#server = createServer((incoming, outgoing) => {
      const chunks: Buffer[] = [];
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
      incoming.on('end', () => handle(incoming, outgoing, Buffer.concat(chunks)));
    });
  }

  /** Starts listening and resolves with the address as `IP:port`. */
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
