import { createHash, type Hash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { BodyBuffer } from '../process/bodies/index.js';
import type { BodyStore, Reservation } from '../process/bodies/index.js';

/** Result of reading a request body. */
export type ReadBodyResult =
  | {
      readonly kind: 'complete';
      readonly bytes: Buffer;
      /** SHA-256 in lower-case hexadecimal; empty without a body. */
      readonly digest: string;
      readonly reservation: Reservation;
    }
  | { readonly kind: 'tooLarge' }
  | { readonly kind: 'buffersFull' }
  /** The client disconnected before the body was complete. */
  | { readonly kind: 'gone' };

const NO_BYTES = Buffer.alloc(0);

/**
 * Reads the whole body of a request. Budget is reserved before bytes are buffered, and the caller releases the
 * reservation of a complete body.
 * @param incoming - Request whose headers have arrived.
 * @param limits - Size limit `maxBody` in bytes, and the store that manages the budget.
 */
export async function readBody(
  incoming: IncomingMessage,
  limits: { readonly maxBody: number; readonly store: BodyStore },
): Promise<ReadBodyResult> {
  const declared = Number(incoming.headers['content-length'] ?? 0);
  if (declared > limits.maxBody) {
    return { kind: 'tooLarge' };
  }
  const reservation = limits.store.tryReserve(declared);
  if (reservation === undefined) {
    return { kind: 'buffersFull' };
  }
  if (declared === 0 && incoming.headers['transfer-encoding'] === undefined) {
    return { kind: 'complete', bytes: NO_BYTES, digest: '', reservation };
  }
  const result = await collectChunks(incoming, limits.maxBody, reservation);
  if (result.kind !== 'complete') {
    reservation.release();
  }
  return result;
}

/** Collects by events, because iterating over the stream allocates several promises and objects for each body. */
function collectChunks(
  incoming: IncomingMessage,
  maxBody: number,
  reservation: Reservation,
): Promise<ReadBodyResult> {
  const body = new BodyBuffer();
  let hash: Hash | undefined;
  return new Promise((resolve) => {
    incoming.on('data', take);
    incoming.once('end', () => finish(incoming.complete ? join() : { kind: 'gone' }));
    incoming.once('error', () => finish({ kind: 'gone' }));
    incoming.once('close', () => finish({ kind: 'gone' }));

    function take(chunk: Buffer): void {
      const size = body.size + chunk.length;
      if (size > maxBody) {
        finish({ kind: 'tooLarge' });
      } else if (size > reservation.size && !reservation.tryGrow(size - reservation.size)) {
        finish({ kind: 'buffersFull' });
      } else {
        hash = (hash ?? createHash('sha256')).update(chunk);
        body.append(chunk);
      }
    }

    function finish(result: ReadBodyResult): void {
      incoming.off('data', take);
      body.discard();
      resolve(result);
    }
  });

  function join(): ReadBodyResult {
    const digest = hash?.digest('hex') ?? '';
    return { kind: 'complete', bytes: body.takeBuffer(), digest, reservation };
  }
}
