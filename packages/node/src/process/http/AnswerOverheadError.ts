/** An answer brought more bytes besides its body than the limit allows; it may have no end. */
export class AnswerOverheadError extends Error {
  /** Bytes besides the body. */
  readonly overheadBytes: number;

  /** @param overheadBytes - Bytes besides the body. */
  constructor(overheadBytes: number) {
    super(`answer brought ${overheadBytes} bytes besides its body`);
    this.name = 'AnswerOverheadError';
    this.overheadBytes = overheadBytes;
  }
}
