import type { BodyReference } from '../process/bodies/index.js';

/** Bytes of one body chunk. */
export const CHUNK_BYTES = 16 * 1024;

/** Bytes of one body that may be under way before the receiver grants more. */
export const WINDOW_BYTES = 256 * 1024;

/** Chunks handed to the transport at once: enough to keep it busy, little enough that a small frame passes quickly. */
const CHUNKS_IN_TRANSPORT = 4;

interface Transfer {
  readonly callId: string;
  readonly body: BodyReference;
  offset: number;
  window: number;
  ready: boolean;
}

/** Writes a chunk and calls `done` when the transport took it. */
export type WriteChunk = (
  callId: string,
  offset: number,
  data: Uint8Array,
  done: () => void,
) => void;

/** Sends the bodies of one stream, a chunk of each call in turn, within the window of each call. */
export class BodySender {
  readonly #write: WriteChunk;

  readonly #transfers = new Map<string, Transfer>();

  #ready: Transfer[] = [];

  #inTransport = 0;

  /** @param write - Writes one chunk to the stream. */
  constructor(write: WriteChunk) {
    this.#write = write;
  }

  /**
   * Begins to send a body; its call frame must be written already.
   * @param callId - Call that the body belongs to.
   * @param body - Released when it is sent or given up.
   */
  begin(callId: string, body: BodyReference): void {
    this.cancel(callId);
    const transfer = { callId, body, offset: 0, window: WINDOW_BYTES, ready: true };
    this.#transfers.set(callId, transfer);
    this.#ready.push(transfer);
    this.#send();
  }

  /**
   * Takes a window update of the receiver.
   * @param callId - Call that may go on; an unknown one has no effect.
   * @param bytes - Further bytes that may be sent.
   */
  acceptWindowUpdate(callId: string, bytes: number): void {
    const transfer = this.#transfers.get(callId);
    if (transfer === undefined) {
      return;
    }
    transfer.window = Math.min(transfer.window + bytes, WINDOW_BYTES);
    if (!transfer.ready) {
      transfer.ready = true;
      this.#ready.push(transfer);
    }
    this.#send();
  }

  /**
   * Gives up a body.
   * @param callId - Call that ended; an unknown one has no effect.
   */
  cancel(callId: string): void {
    const transfer = this.#transfers.get(callId);
    if (transfer !== undefined) {
      this.#end(transfer);
      this.#ready = this.#ready.filter((other) => other !== transfer);
    }
  }

  /** Gives up every body. */
  close(): void {
    this.#transfers.forEach((transfer) => this.#end(transfer));
    this.#ready = [];
  }

  /** Number of bodies that are not sent completely. */
  get count(): number {
    return this.#transfers.size;
  }

  #send(): void {
    while (this.#inTransport < CHUNKS_IN_TRANSPORT) {
      const transfer = this.#ready.shift();
      if (transfer === undefined) {
        return;
      }
      this.#sendChunk(transfer);
    }
  }

  #sendChunk(transfer: Transfer): void {
    const { callId, body, offset } = transfer;
    const size = Math.min(CHUNK_BYTES, transfer.window, body.bytes.length - offset);
    const data = body.bytes.subarray(offset, offset + size);
    /* eslint-disable no-param-reassign -- the state of a transfer is kept in its record */
    transfer.offset += size;
    transfer.window -= size;
    transfer.ready = transfer.window > 0 && transfer.offset < body.bytes.length;
    /* eslint-enable no-param-reassign */
    if (transfer.ready) {
      this.#ready.push(transfer);
    } else if (transfer.offset === body.bytes.length) {
      this.#end(transfer);
    }
    this.#inTransport += 1;
    this.#write(callId, offset, data, () => {
      this.#inTransport -= 1;
      this.#send();
    });
  }

  #end(transfer: Transfer): void {
    this.#transfers.delete(transfer.callId);
    transfer.body.release();
  }
}
