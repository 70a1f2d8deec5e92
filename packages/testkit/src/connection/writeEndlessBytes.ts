import type { Socket } from 'node:net';

/** Content and pace of an endless stream. */
export interface EndlessBytes {
  /** Text sent once at the start, in Latin-1. */
  readonly head: string;
  /** Text repeated until the connection is closed, in Latin-1. */
  readonly unit: string;
  /** Time between two units, in milliseconds; without it, units are sent as fast as the peer reads them. */
  readonly pauseMs?: number;
}

const BLOCK_BYTES = 65_536;

/**
 * Writes bytes to a connection until it is closed, to test how a peer limits endless answers.
 * @param socket - Connection to write to.
 * @param bytes - Content and pace of the stream.
 * @param onWritten - Called with the size of each block that was handed to the operating system, in bytes.
 */
export function writeEndlessBytes(
  socket: Socket,
  { head, unit, pauseMs }: EndlessBytes,
  onWritten: (size: number) => void = () => undefined,
): void {
  const block = unit.repeat(pauseMs === undefined ? Math.ceil(BLOCK_BYTES / unit.length) : 1);
  const write = (): void => {
    if (socket.destroyed) {
      return;
    }
    socket.write(block, 'latin1', () => {
      onWritten(block.length);
      if (pauseMs === undefined) {
        setImmediate(write);
      } else {
        setTimeout(write, pauseMs);
      }
    });
  };
  socket.write(head, 'latin1', write);
}
