import type { Socket } from 'node:net';
import { AnswerOverheadError } from './AnswerOverheadError.js';

/**
 * Chunk framing allowed per byte of the body, in bytes: a chunk of one byte has five, and chunk extensions may add any
 * number. Beyond 1 MiB of framing one byte per byte of the body is allowed, because each small chunk costs a parser
 * call.
 */
const FRAMING_PER_BYTE = 8;
const FRAMING_BYTES = 1024 * 1024;

/**
 * Limits the bytes outside bodies that a connection receives: heads, informational answers, chunk framing and trailers.
 * The HTTP parser of undici does not limit reason phrases, informational answers, chunk extensions and empty lines.
 */
export class AnswerOverheadLimiter {
  readonly #socket: Socket;

  readonly #headBytes: number;

  /** Bytes received before the current request, or up to the end of the last answer. */
  #base = 0;

  #bodyBytes = 0;

  #isIdle = true;

  /**
   * @param socket - Connection to which undici has not attached its reader yet.
   * @param headBytes - Maximum bytes of an answer outside its body and the chunk framing of the body.
   */
  constructor(socket: Socket, headBytes: number) {
    this.#socket = socket;
    this.#headBytes = headBytes;
    socket.on('readable', () => this.#handleReadable());
  }

  /** Resets the counts for a request that is about to be written. */
  begin(): void {
    this.#isIdle = false;
    this.#base = this.#countConsumed();
    this.#bodyBytes = 0;
  }

  /**
   * Counts bytes of the body of the answer.
   * @param size - Size in bytes.
   */
  addBody(size: number): void {
    this.#bodyBytes += size;
  }

  /** Records that the answer is complete; any further byte before the next request closes the connection. */
  end(): void {
    this.#isIdle = true;
    this.#base = this.#socket.bytesRead;
  }

  #handleReadable(): void {
    if (this.#isIdle) {
      // Bytes without a request belong to no answer. An event without new bytes is the end, which undici handles.
      if (this.#socket.bytesRead > this.#base) {
        this.#socket.destroy();
      }
      return;
    }
    // The check runs on the next tick, after undici's listener, which comes after this one, has read the bytes.
    process.nextTick(() => this.#check());
  }

  #check(): void {
    const overhead = this.#countConsumed() - this.#base - this.#bodyBytes;
    const framing = Math.min(FRAMING_PER_BYTE * this.#bodyBytes, FRAMING_BYTES + this.#bodyBytes);
    if (!this.#isIdle && overhead > this.#headBytes + framing) {
      this.#socket.destroy(new AnswerOverheadError(overhead));
    }
  }

  #countConsumed(): number {
    return this.#socket.bytesRead - this.#socket.readableLength;
  }
}
