/** Why bytes of a peer are not frames. */
export type FrameFault = 'empty' | 'tooLarge' | 'malformed';

/** A message of a peer that does not carry frames of the schema. */
export class FrameError extends Error {
  /**
   * @param fault - What is wrong.
   * @param size - Size of the message, in bytes.
   */
  constructor(
    readonly fault: FrameFault,
    readonly size: number,
  ) {
    super(`link message of ${size} bytes is not valid: ${fault}`);
    this.name = 'FrameError';
  }
}
