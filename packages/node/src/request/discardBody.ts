import type { IncomingMessage } from 'node:http';

/** Maximum bytes of a refused body to read. A client whose body is not read may see a reset instead of the refusal. */
const MAX_DISCARD_BYTES = 1024 * 1024;

const DISCARD_LIMIT_MS = 500;

/**
 * Reads and drops the rest of a refused body, up to 1 MiB and for up to 500 ms.
 * @param incoming - Refused request.
 */
export async function discardBody(incoming: IncomingMessage): Promise<void> {
  await new Promise<void>((resolve) => {
    let size = 0;
    const timer = setTimeout(resolve, DISCARD_LIMIT_MS);
    const finish = (): void => {
      clearTimeout(timer);
      resolve();
    };
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAX_DISCARD_BYTES) {
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
