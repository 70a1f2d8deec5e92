import type { Socket } from 'node:net';
import { MAX_BATCH_BYTES } from '@tanagerpond/wire';
import type { FrameStream } from './LinkStream.js';

/** Size of the length prefix of each message, in bytes; an unsigned big-endian integer. */
const LENGTH_BYTES = 4;

/** Stream of length-prefixed messages on one TCP connection. */
export class TcpFrameStream implements FrameStream {
  readonly #socket: Socket;

  /** Received bytes that do not form a complete message yet. */
  #pending: Buffer = Buffer.alloc(0);

  readonly #messageListeners: ((bytes: Buffer) => void)[] = [];

  /** @param socket - Socket that is connected or connecting. */
  constructor(socket: Socket) {
    this.#socket = socket;
    socket.setNoDelay(true);
    socket.on('data', (bytes: Buffer) => this.#receive(bytes));
  }

  write(bytes: Buffer, done?: () => void): void {
    const length = Buffer.allocUnsafe(LENGTH_BYTES);
    length.writeUInt32BE(bytes.length);
    this.#socket.write(Buffer.concat([length, bytes], LENGTH_BYTES + bytes.length), () => done?.());
  }

  end(): void {
    this.#socket.end();
  }

  on(event: 'data', listener: (bytes: Buffer) => void): void;

  on(event: 'end' | 'error' | 'close', listener: () => void): void;

  on(
    event: 'data' | 'end' | 'error' | 'close',
    listener: ((bytes: Buffer) => void) & (() => void),
  ): void {
    if (event === 'data') {
      this.#messageListeners.push(listener);
      return;
    }
    this.#socket.on(event, () => listener());
  }

  #receive(bytes: Buffer): void {
    this.#pending = this.#pending.length === 0 ? bytes : Buffer.concat([this.#pending, bytes]);
    while (this.#pending.length >= LENGTH_BYTES) {
      const length = this.#pending.readUInt32BE();
      if (length > MAX_BATCH_BYTES) {
        this.#socket.destroy(
          new RangeError(`message of ${length} bytes on a peer link exceeds the size limit`),
        );
        return;
      }
      const end = LENGTH_BYTES + length;
      if (this.#pending.length < end) {
        return;
      }
      const message = this.#pending.subarray(LENGTH_BYTES, end);
      this.#pending = this.#pending.subarray(end);
      this.#messageListeners.forEach((take) => take(message));
    }
  }
}
