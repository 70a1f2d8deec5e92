import * as net from 'node:net';
import * as connection from '../../connection/index.js';

/** `silent` drops all data but keeps connections open; `refused` closes all connections, also new ones. */
export type LinkState = 'open' | 'silent' | 'refused';

/** TCP relay for the connections that one VM opens to another. It can be cut and restored. */
export class LinkRelay {
  readonly #target: string;

  readonly #server: net.Server;

  readonly #sockets = new Set<net.Socket>();

  #state: LinkState = 'open';

  /** @param target - `IP:port` to which connections are forwarded. */
  constructor(target: string) {
    this.#target = target;
    this.#server = net.createServer((socket) => this.#accept(socket));
  }

  /** Opens the relay on a free loopback port. Returns `127.0.0.1:port`. */
  async open(): Promise<string> {
    return connection.openLoopback(this.#server);
  }

  /**
   * Cuts or restores the link. Connections that were open during a silent cut stay silent afterwards, like half-open
   * TCP connections; only new connections work again.
   */
  setState(state: LinkState): void {
    this.#state = state;
    if (state === 'refused') {
      this.#sockets.forEach((socket) => socket.destroy());
    }
    if (state === 'silent') {
      this.#sockets.forEach((socket) => {
        socket.unpipe();
        socket.resume();
      });
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    await connection.closeServer(this.#server);
  }

  #accept(source: net.Socket): void {
    if (this.#state === 'refused') {
      source.destroy();
      return;
    }
    this.#add(source);
    if (this.#state === 'silent') {
      source.resume();
      return;
    }
    const separator = this.#target.lastIndexOf(':');
    const target = net.connect({
      host: this.#target.slice(0, separator),
      port: Number(this.#target.slice(separator + 1)),
      noDelay: true,
    });
    this.#add(target);
    source.setNoDelay(true);
    source.pipe(target);
    target.pipe(source);
    source.once('close', () => target.destroy());
    target.once('close', () => source.destroy());
  }

  #add(socket: net.Socket): void {
    this.#sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.once('close', () => this.#sockets.delete(socket));
  }
}
