import type { IncomingMessage } from 'node:http';

/** Most bytes of a refused body that are read, so that the client reads the refusal instead of a reset. */
const DISCARD_BYTES = 1024 * 1024;

const DISCARD_MS = 500;

/**
 * Reads and drops what is left of a refused body, up to 1 MiB and half a second.
 * @param incoming - Request that is refused.
 */
export async function discardBody(incoming: IncomingMessage): Promise<void> {
  await new Promise<void>((resolve) => {
    let size = 0;
    const timer = setTimeout(resolve, DISCARD_MS);
    const finish = (): void => {
      clearTimeout(timer);
      resolve();
    };
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > DISCARD_BYTES) {
        incoming.pause();
        finish();
      }
    });
    incoming.once('end', finish);
    incoming.once('close', finish);
    if (incoming.complete && incoming.readableEnded) {
      finish();
    }
  });
}
