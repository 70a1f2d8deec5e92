import { createServer, type Server, type Socket } from 'node:net';
import type { InboundTransport, PeerListener } from './GrpcPeerServer.js';
import { startListening } from './startListening.js';
import { stopListening } from './stopListening.js';
import { TcpFrameStream } from './TcpFrameStream.js';

/** Maximum number of open inbound streams, including those without a `Hello`. */
const MAX_INBOUND_STREAMS = 20_000;

/** Time that open streams have to end before the listener closes them, in milliseconds. */
const CLOSE_LIMIT_MS = 500;

/** Listener for peers that connect by plain TCP. */
export class TcpPeerServer implements PeerListener {
  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  /** @param accept - Called with each new stream. */
  constructor(accept: (transport: InboundTransport) => void) {
    this.#server = createServer({ noDelay: true }, (socket) => this.#accept(socket, accept));
    this.#server.maxConnections = MAX_INBOUND_STREAMS;
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

  /** Stops listening; streams that are still open after 500 ms are closed. */
  [Symbol.asyncDispose](): Promise<void> {
    const destroyAll = (): void => this.#sockets.forEach((socket) => socket.destroy());
    return stopListening(this.#server, destroyAll, CLOSE_LIMIT_MS);
  }

  #accept(socket: Socket, accept: (transport: InboundTransport) => void): void {
    this.#sockets.add(socket);
    socket.once('close', () => this.#sockets.delete(socket));
    accept({
      stream: new TcpFrameStream(socket),
      certificateNames: undefined,
      abort: () => socket.destroy(),
    });
  }
}
