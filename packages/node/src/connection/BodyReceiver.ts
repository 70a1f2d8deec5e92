import type { BodyStore, Reservation } from '../process/bodies/index.js';
import { CHUNK_BYTES, WINDOW_BYTES } from './BodySender.js';

/** Received bytes after which the sender gets a window update of the same size. */
const GRANT_BYTES = WINDOW_BYTES / 2;

/** Time without a chunk after which a body counts as stalled, in milliseconds. */
const STALL_MS = 10_000;

interface Assembly {
  readonly bytes: Buffer;
  readonly reservation: Reservation;
  received: number;
  /** Number of bytes received since the last window update. */
  ungranted: number;
  lastChunkMs: number;
}

/** Why a body is refused. */
export type BodyFault = 'tooLarge' | 'buffersFull';

/** Result of announcing a body. */
export type BeginResult = 'begun' | BodyFault;

/** A complete body and the budget reserved for it, which the receiver of this object must release. */
export interface CompleteBody {
  readonly kind: 'complete';
  readonly bytes: Buffer;
  readonly reservation: Reservation;
}

/** Result of receiving one chunk. */
export type ChunkResult =
  | { readonly kind: 'partial' }
  | CompleteBody
  /** No body of this call is being received. */
  | { readonly kind: 'unknown' }
  /** The chunk violates offset, size or window; the stream must be closed. */
  | { readonly kind: 'fault' };

/** Options of a body receiver. */
export interface BodyReceiverOptions {
  readonly store: BodyStore;
  /** Maximum size of a body, in bytes. */
  readonly maxBody: number;
  /** Sends a window update that allows the sender of a body additional bytes. */
  readonly grant: (callId: string, bytes: number) => void;
}

/** Assembles the bodies that arrive on one stream. The budget for a whole body is reserved before its first chunk. */
export class BodyReceiver {
  readonly #options: BodyReceiverOptions;

  readonly #assemblies = new Map<string, Assembly>();

  /** @param options - Budget, size limit, and the callback that sends window updates. */
  constructor(options: BodyReceiverOptions) {
    this.#options = options;
  }

  /**
   * Reserves budget for an announced body and starts to receive it.
   * @param callId - Call that the body belongs to; no other body of the call may be in progress.
   * @param size - Size of the whole body, in bytes; more than 0.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  begin(callId: string, size: number, nowMs: number): BeginResult {
    const reservation = this.#reserve(size);
    if (typeof reservation === 'string') {
      return reservation;
    }
    const bytes = Buffer.allocUnsafe(size);
    this.#assemblies.set(callId, {
      bytes,
      reservation,
      received: 0,
      ungranted: 0,
      lastChunkMs: nowMs,
    });
    return 'begun';
  }

  /**
   * Receives a whole body that came inside the frame of its call or answer.
   * @param data - The whole body; it is copied, because it may be part of a larger buffer.
   */
  receiveInline(data: Uint8Array): CompleteBody | BodyFault {
    const reservation = this.#reserve(data.length);
    return typeof reservation === 'string'
      ? reservation
      : { kind: 'complete', bytes: Buffer.from(data), reservation };
  }

  /**
   * Receives the next chunk of a body.
   * @param callId - Call that the body belongs to.
   * @param offset - Position in the body, in bytes; chunks must arrive in order.
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
    assembly.lastChunkMs = nowMs;
    if (assembly.received === assembly.bytes.length) {
      this.#assemblies.delete(callId);
      return { kind: 'complete', bytes: assembly.bytes, reservation: assembly.reservation };
    }
    this.#grant(callId, assembly);
    return { kind: 'partial' };
  }

  /**
   * Returns whether a body is being received.
   * @param callId - Call that the body belongs to.
   */
  has(callId: string): boolean {
    return this.#assemblies.has(callId);
  }

  /**
   * Drops a body and releases its budget.
   * @param callId - Call that the body belongs to.
   * @returns False when no such body was being received.
   */
  cancel(callId: string): boolean {
    this.#assemblies.get(callId)?.reservation.release();
    return this.#assemblies.delete(callId);
  }

  /**
   * Lists the call ids of the bodies of which no chunk has arrived for 10 s.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  listStalled(nowMs: number): readonly string[] {
    return [...this.#assemblies]
      .filter(([, assembly]) => nowMs - assembly.lastChunkMs >= STALL_MS)
      .map(([callId]) => callId);
  }

  /** Drops every body and releases its budget. */
  close(): void {
    this.#assemblies.forEach((assembly) => assembly.reservation.release());
    this.#assemblies.clear();
  }

  /** Number of bodies that are being received. */
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
