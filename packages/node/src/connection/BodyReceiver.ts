import type { BodyStore, Reservation } from '../process/bodies/index.js';
import { CHUNK_BYTES, WINDOW_BYTES } from './BodySender.js';

/** Consumed bytes after which the sender is granted as many again. */
const GRANT_BYTES = WINDOW_BYTES / 2;

/** A body of which nothing arrives for this time is given up, in milliseconds. */
const STALL_MS = 10_000;

interface Assembly {
  readonly bytes: Buffer;
  readonly reservation: Reservation;
  received: number;
  ungranted: number;
  heardMs: number;
}

/** Why a body cannot be received. */
export type BodyFault = 'tooLarge' | 'buffersFull';

/** Whether a body may be received. */
export type BeginResult = 'begun' | BodyFault;

/** A whole body with the budget taken for it. */
export interface CompleteBody {
  readonly kind: 'complete';
  readonly bytes: Buffer;
  readonly reservation: Reservation;
}

/** What one chunk led to. */
export type ChunkResult =
  | { readonly kind: 'partial' }
  | CompleteBody
  /** The stream carries no such body. */
  | { readonly kind: 'unknown' }
  /** Offset, size or window is violated; the stream is not to be trusted any longer. */
  | { readonly kind: 'fault' };

/** Options of a receiver. */
export interface BodyReceiverOptions {
  readonly store: BodyStore;
  /** Largest body that is accepted, in bytes. */
  readonly maxBody: number;
  /** Grants the sender of a body further bytes. */
  readonly grant: (callId: string, bytes: number) => void;
}

/** Assembles the bodies that arrive on one stream. The budget for a body is taken before its first chunk. */
export class BodyReceiver {
  readonly #options: BodyReceiverOptions;

  readonly #assemblies = new Map<string, Assembly>();

  /** @param options - Budget, limit and the way to grant more. */
  constructor(options: BodyReceiverOptions) {
    this.#options = options;
  }

  /**
   * Begins a body.
   * @param callId - Call that it belongs to; not in progress yet.
   * @param size - Size of the whole body, in bytes; more than 0.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  begin(callId: string, size: number, nowMs: number): BeginResult {
    const reservation = this.#reserve(size);
    if (typeof reservation === 'string') {
      return reservation;
    }
    const bytes = Buffer.allocUnsafe(size);
    this.#assemblies.set(callId, { bytes, reservation, received: 0, ungranted: 0, heardMs: nowMs });
    return 'begun';
  }

  /**
   * Takes a body that came in one piece.
   * @param data - The whole body; it is copied, since it may be part of a larger buffer.
   */
  receiveInline(data: Uint8Array): CompleteBody | BodyFault {
    const reservation = this.#reserve(data.length);
    return typeof reservation === 'string'
      ? reservation
      : { kind: 'complete', bytes: Buffer.from(data), reservation };
  }

  /**
   * Takes the next chunk of a body.
   * @param callId - Call that it belongs to.
   * @param offset - Position in the body, in bytes; chunks come in order.
   * @param data - Bytes of the chunk.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receive(callId: string, offset: number, data: Uint8Array, nowMs: number): ChunkResult {
    const assembly = this.#assemblies.get(callId);
    if (assembly === undefined) {
      return { kind: 'unknown' };
    }
    if (!isNextChunk(assembly, offset, data)) {
      return { kind: 'fault' };
    }
    assembly.bytes.set(data, offset);
    assembly.received += data.length;
    assembly.ungranted += data.length;
    assembly.heardMs = nowMs;
    if (assembly.received === assembly.bytes.length) {
      this.#assemblies.delete(callId);
      return { kind: 'complete', bytes: assembly.bytes, reservation: assembly.reservation };
    }
    this.#grant(callId, assembly);
    return { kind: 'partial' };
  }

  /**
   * Tells whether a body is in progress.
   * @param callId - Call that it belongs to.
   */
  has(callId: string): boolean {
    return this.#assemblies.has(callId);
  }

  /**
   * Gives up a body.
   * @param callId - Call that ended.
   * @returns False when no such body was in progress.
   */
  cancel(callId: string): boolean {
    this.#assemblies.get(callId)?.reservation.release();
    return this.#assemblies.delete(callId);
  }

  /**
   * Lists the bodies of which nothing has arrived for 10 s.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  listStalled(nowMs: number): readonly string[] {
    return [...this.#assemblies]
      .filter(([, assembly]) => nowMs - assembly.heardMs >= STALL_MS)
      .map(([callId]) => callId);
  }

  /** Gives up every body. */
  close(): void {
    this.#assemblies.forEach((assembly) => assembly.reservation.release());
    this.#assemblies.clear();
  }

  /** Number of bodies in progress. */
  get count(): number {
    return this.#assemblies.size;
  }

  #reserve(size: number): Reservation | BodyFault {
    if (size > this.#options.maxBody) {
      return 'tooLarge';
    }
    return this.#options.store.tryReserve(size) ?? 'buffersFull';
  }

  #grant(callId: string, assembly: Assembly): void {
    if (assembly.ungranted < GRANT_BYTES) {
      return;
    }
    const bytes = assembly.ungranted;
    // eslint-disable-next-line no-param-reassign -- the state of an assembly is kept in its record
    assembly.ungranted = 0;
    this.#options.grant(callId, bytes);
  }
}

function isNextChunk(assembly: Assembly, offset: number, data: Uint8Array): boolean {
  const end = offset + data.length;
  return (
    offset === assembly.received &&
    data.length > 0 &&
    data.length <= CHUNK_BYTES &&
    end <= assembly.bytes.length &&
    assembly.ungranted + data.length <= WINDOW_BYTES
  );
}
