import type { Socket } from 'node:net';

/** How a stream without end is written. */
export interface EndlessBytes {
  /** Sent once, in Latin-1. */
  readonly head: string;
  /** Repeated until the other side closes. */
  readonly unit: string;
  /** Time between two units, in milliseconds; without it as fast as the other side reads. */
  readonly pauseMs?: number;
}

const BLOCK_BYTES = 65_536;

/**
 * Sends bytes without end, until the connection is closed.
 * @param socket - Connection of a stand-in.
 * @param bytes - What is sent.
 * @param onTaken - Called with the size of each block that the system took, in bytes.
 */
export function writeEndlessBytes(
  socket: Socket,
  { head, unit, pauseMs }: EndlessBytes,
  onTaken: (size: number) => void = () => undefined,
): void {
  const block = unit.repeat(pauseMs === undefined ? Math.ceil(BLOCK_BYTES / unit.length) : 1);
  const write = (): void => {
    if (socket.destroyed) {
      return;
    }
    socket.write(block, 'latin1', () => {
      onTaken(block.length);
      if (pauseMs === undefined) {
        setImmediate(write);
      } else {
        setTimeout(write, pauseMs);
      }
    });
  };
  socket.write(head, 'latin1', write);
}
