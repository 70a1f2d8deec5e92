import { Server, status } from '@grpc/grpc-js';
import type { ServerDuplexStream } from '@grpc/grpc-js';
import { LINK_CHANNEL_OPTIONS, LINK_SERVICE } from './linkService.js';
import type { PeerCredentials } from './PeerCredentials.js';
import type { LinkTransport } from './PeerLink.js';

/** Maximum number of open inbound streams, including those without a `Hello`. */
const MAX_INBOUND_STREAMS = 20_000;

/** Time that open streams have to end before the listener closes them, in milliseconds. */
const CLOSE_LIMIT_MS = 500;

/** A stream that a peer opened. */
export interface InboundTransport extends LinkTransport {
  /** Names in the peer's certificate; undefined on a plain-text connection. */
  readonly certificateNames: readonly string[] | undefined;
}

/** Listener for the streams that peers open. */
export interface PeerListener extends AsyncDisposable {
  /**
   * Starts listening.
   * @param host - IP address.
   * @param port - Port; 0 selects any free port.
   * @returns Resolves with the port in use; rejects when the address cannot be used.
   */
  listen(host: string, port: number): Promise<number>;
}

/** Listener for peers that connect by gRPC. */
export class GrpcPeerServer implements PeerListener {
  readonly #server = new Server(LINK_CHANNEL_OPTIONS);

  readonly #credentials: PeerCredentials;

  #streams = 0;

  /**
   * @param credentials - Credentials of the listener.
   * @param accept - Called with each new stream.
   */
  constructor(credentials: PeerCredentials, accept: (transport: InboundTransport) => void) {
    this.#credentials = credentials;
    this.#server.addService(LINK_SERVICE, {
      connect: (call: ServerDuplexStream<Buffer, Buffer>) => this.#accept(call, accept),
    });
  }

  /**
   * Starts listening.
   * @param host - IP address.
   * @param port - Port; 0 selects any free port.
   * @returns Resolves with the port in use; rejects when the address cannot be used.
   */
  listen(host: string, port: number): Promise<number> {
    const address = host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
    return new Promise((resolve, reject) => {
      this.#server.bindAsync(address, this.#credentials.server, (error, bound) => {
        if (error === null) {
          resolve(bound);
        } else {
          reject(error);
        }
      });
    });
  }

  /** Stops listening; streams that are still open after 500 ms are closed. */
  async [Symbol.asyncDispose](): Promise<void> {
    const timer = setTimeout(() => this.#server.forceShutdown(), CLOSE_LIMIT_MS);
    await new Promise<void>((resolve) => {
      this.#server.tryShutdown(() => resolve());
    });
    clearTimeout(timer);
  }

  #accept(
    call: ServerDuplexStream<Buffer, Buffer>,
    accept: (transport: InboundTransport) => void,
  ): void {
    if (this.#streams >= MAX_INBOUND_STREAMS) {
      call.emit('error', { code: status.RESOURCE_EXHAUSTED, details: 'too many streams' });
      return;
    }
    this.#streams += 1;
    call.once('close', () => {
      this.#streams -= 1;
    });
    accept({
      stream: call,
      certificateNames: readCertificateNames(call),
      abort() {
        call.emit('error', { code: status.ABORTED, details: 'link closed' });
        call.destroy();
      },
    });
  }
}

function readCertificateNames(
  call: ServerDuplexStream<Buffer, Buffer>,
): readonly string[] | undefined {
  const certificate = call.getAuthContext().sslPeerCertificate;
  if (certificate === undefined) {
    return undefined;
  }
  const alternative = (certificate.subjectaltname ?? '')
    .split(', ')
    .filter((entry) => entry.startsWith('DNS:'))
    .map((entry) => entry.slice('DNS:'.length));
  return alternative.length > 0 ? alternative : [certificate.subject.CN ?? []].flat();
}
