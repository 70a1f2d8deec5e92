import type { Socket } from 'node:net';
import { AnswerOverheadError } from './AnswerOverheadError.js';

/**
 * Bytes of framing that each byte of a body may bring: a chunk of one byte brings five, chunk extensions any number.
 * After the first mebibyte of framing only as many as the body has, because each tiny chunk costs a call of the parser.
 */
const FRAMING_PER_BYTE = 8;
const FRAMING_BYTES = 1024 * 1024;

/**
 * Limits what a connection receives besides bodies: heads, informational answers, chunk framing, trailers. The parser
 * of the library has no limit for a reason phrase, informational answers, chunk extensions and empty lines.
 */
export class AnswerOverheadLimiter {
  readonly #socket: Socket;

  readonly #headBytes: number;

  /** Bytes received before the exchange in progress, or until the end of the last one. */
  #base = 0;

  #bodyBytes = 0;

  #isIdle = true;

  /**
   * @param socket - Connection whose reader is not attached yet.
   * @param headBytes - Most bytes of an answer besides its body and the framing of that.
   */
  constructor(socket: Socket, headBytes: number) {
    this.#socket = socket;
    this.#headBytes = headBytes;
    socket.on('readable', () => this.#handleReadable());
  }

  /** The request is about to be written. */
  begin(): void {
    this.#isIdle = false;
    this.#base = this.#countConsumed();
    this.#bodyBytes = 0;
  }

  /**
   * Counts bytes of the answer's body.
   * @param size - Size in bytes.
   */
  addBody(size: number): void {
    this.#bodyBytes += size;
  }

  /** The answer is complete. */
  end(): void {
    this.#isIdle = true;
    this.#base = this.#socket.bytesRead;
  }

  #handleReadable(): void {
    if (this.#isIdle) {
      // What comes without a request belongs to none. The end of a connection is for the reader of the socket.
      if (this.#socket.bytesRead > this.#base) {
        this.#socket.destroy();
      }
      return;
    }
    // The reader's listener comes after this one and reads first.
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
