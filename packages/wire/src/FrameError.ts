/** Why bytes of a peer are not a frame. */
export type FrameFault = 'empty' | 'tooLarge' | 'malformed' | 'unknownBody';

/** Bytes of a peer that are not a frame of the schema. */
export class FrameError extends Error {
  /**
   * @param fault - What is wrong.
   * @param size - Size of the message, in bytes.
   */
  constructor(
    readonly fault: FrameFault,
    readonly size: number,
  ) {
    super(`frame of ${size} bytes is not valid: ${fault}`);
    this.name = 'FrameError';
  }
}
