/** An answer had more bytes outside its body than the limit allows; such an answer may be endless. */
export class AnswerOverheadError extends Error {
  /** Bytes outside the body. */
  readonly overheadBytes: number;

  /** @param overheadBytes - Bytes outside the body. */
  constructor(overheadBytes: number) {
    super(`answer exceeds the overhead limit: ${overheadBytes} bytes outside its body`);
    this.name = 'AnswerOverheadError';
    this.overheadBytes = overheadBytes;
  }
}
