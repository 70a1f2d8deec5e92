import { EventEmitter } from 'node:events';
import type { FrameStream } from '../../src/connection/LinkStream.js';

/** One end of an in-memory stream. Bytes arrive at the other end in a later turn of the event loop. */
export class MemoryStream extends EventEmitter implements FrameStream {
  /** While true, written bytes are lost, as on a connection that silently drops packets. */
  silent = false;

  aborted = false;

  other: MemoryStream | undefined;

  /** Creates two connected ends. */
  static createPair(): readonly [MemoryStream, MemoryStream] {
    const left = new MemoryStream();
    const right = new MemoryStream();
    left.other = right;
    right.other = left;
    return [left, right];
  }

  write(bytes: Buffer, done?: () => void): void {
    setImmediate(() => {
      if (!this.silent) {
        this.other?.emit('data', bytes);
      }
      done?.();
    });
  }

  end(): void {
    setImmediate(() => this.other?.emit('end'));
  }

  abort(): void {
    this.aborted = true;
    setImmediate(() => this.other?.emit('close'));
  }
}
