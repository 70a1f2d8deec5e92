import type { BodyReference } from '../process/bodies/index.js';

/** Maximum size of a body chunk, in bytes. */
export const CHUNK_BYTES = 16 * 1024;

/** Size of the flow-control window of one body, in bytes: more is sent only after a window update of the receiver. */
export const WINDOW_BYTES = 256 * 1024;

/**
 * Maximum number of chunks in the transport at a time: enough to keep it busy, and few enough to avoid head-of-line
 * blocking of small frames.
 */
const MAX_CHUNKS_IN_TRANSPORT = 4;

interface Transfer {
  readonly callId: string;
  readonly body: BodyReference;
  offset: number;
  /** Number of bytes that may be sent before the next window update. */
  window: number;
  ready: boolean;
}

/** Writes a chunk and calls `done` when the transport has accepted it. */
export type WriteChunk = (
  callId: string,
  offset: number,
  data: Uint8Array,
  done: () => void,
) => void;

/** Sends the bodies of one stream in chunks: round-robin over the calls, within the flow-control window of each. */
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
   * Starts to send a body. The frame that announces it must have been written before.
   * @param callId - Call that the body belongs to; a body of the call that is still being sent is cancelled.
   * @param body - Body to send; released when it is sent or cancelled.
   */
  begin(callId: string, body: BodyReference): void {
    this.cancel(callId);
    const transfer = { callId, body, offset: 0, window: WINDOW_BYTES, ready: true };
    this.#transfers.set(callId, transfer);
    this.#ready.push(transfer);
    this.#send();
  }

  /**
   * Enlarges the window of a body after a window update of the receiver.
   * @param callId - Call that the body belongs to; an unknown id has no effect.
   * @param bytes - Additional bytes that may be sent.
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
   * Stops sending a body and releases it.
   * @param callId - Call that the body belongs to; an unknown id has no effect.
   */
  cancel(callId: string): void {
    const transfer = this.#transfers.get(callId);
    if (transfer !== undefined) {
      this.#end(transfer);
      this.#ready = this.#ready.filter((other) => other !== transfer);
    }
  }

  /** Stops sending every body and releases it. */
  close(): void {
    this.#transfers.forEach((transfer) => this.#end(transfer));
    this.#ready = [];
  }

  /** Number of bodies that are not completely sent. */
  get count(): number {
    return this.#transfers.size;
  }

  #send(): void {
    while (this.#inTransport < MAX_CHUNKS_IN_TRANSPORT) {
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
