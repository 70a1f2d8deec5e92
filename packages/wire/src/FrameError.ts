/** Reason why a message of a peer cannot be decoded. */
export type FrameFault = 'empty' | 'tooLarge' | 'malformed';

/** A message of a peer that does not contain valid frames. */
export class FrameError extends Error {
  /**
   * @param fault - Reason.
   * @param size - Size of the message, in bytes.
   */
  constructor(
    readonly fault: FrameFault,
    readonly size: number,
  ) {
    super(`invalid message of ${size} bytes on the peer link: ${fault}`);
    this.name = 'FrameError';
  }
}
