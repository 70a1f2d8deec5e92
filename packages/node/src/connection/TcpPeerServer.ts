import { createServer, type Server, type Socket } from 'node:net';
import type { InboundTransport, PeerListener } from './GrpcPeerServer.js';
import { startListening } from './startListening.js';
import { stopListening } from './stopListening.js';
import { TcpFrameStream } from './TcpFrameStream.js';

/** Streams that peers may have open at once, the ones without `Hello` included. */
const INBOUND_STREAMS = 20_000;

/** Time for streams to end before the listener cuts them off, in milliseconds. */
const CLOSE_LIMIT_MS = 500;

/** Listener for the plain TCP streams that peers open. */
export class TcpPeerServer implements PeerListener {
  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  /** @param accept - Takes each new stream. */
  constructor(accept: (transport: InboundTransport) => void) {
    this.#server = createServer({ noDelay: true }, (socket) => this.#accept(socket, accept));
    this.#server.maxConnections = INBOUND_STREAMS;
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

  /** Stops listening; streams that are still open are cut off after half a second. */
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
