import type { HeaderPair } from '../node/NodeMessage.js';

/** Records that the table holds at most; about 200 bytes each. */
const RECORD_LIMIT = 20_000;

/** Bytes of stored answers that the table holds at most. */
const STORED_BYTES_LIMIT = 32 * 1024 * 1024;

/** Time between two looks for expired records; a look at a full table takes about a millisecond. */
const SWEEP_INTERVAL_MS = 1_000;

/** An answer kept for repeats of its request; the host keeps the body under `bodyOf`. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: readonly HeaderPair[];
  readonly bodySize: number;
  readonly bodyOf: string;
  /** Only the close of the connection told the end of the body. */
  readonly closeDelimited: boolean;
}

/** What the table says about a request that may run at most once. */
export type DeduplicationState =
  /** Never seen; it may be queued and run. */
  | { readonly kind: 'new' }
  | { readonly kind: 'inProgress' }
  | { readonly kind: 'answered'; readonly answer: StoredAnswer }
  /** It ran, but its answer was too large to keep. */
  | { readonly kind: 'answerNotKept' }
  /** It was given to the backend server, and what became of it cannot be known. */
  | { readonly kind: 'unknown' }
  /** It was refused as not run; it never runs under this id any more. */
  | { readonly kind: 'void' }
  /** The id came with another body before. */
  | { readonly kind: 'mismatch' };

interface OnceRecord {
  state: Exclude<DeduplicationState, { kind: 'new' } | { kind: 'mismatch' }>;
  readonly digest: string;
  readonly expiryMs: number;
}

/**
 * Deduplication table of one incarnation for requests that run at most once. A record is written before the first byte
 * goes to the backend server and lasts until its expiry; an unexpired record is never evicted.
 */
export class DeduplicationTable {
  readonly #records = new Map<string, OnceRecord>();

  #storedBytes = 0;

  readonly #released: string[] = [];

  #nextSweepMs = 0;

  /**
   * Finds what is known about an id.
   * @param id - Ticket id or the id of a backend server's own call.
   * @param digest - Digest of the request's body.
   */
  find(id: string, digest: string): DeduplicationState {
    const record = this.#records.get(id);
    if (record === undefined) {
      return { kind: 'new' };
    }
    return record.digest === digest || record.state.kind === 'void'
      ? record.state
      : { kind: 'mismatch' };
  }

  /** Tells whether no further record fits. */
  isFull(): boolean {
    return this.#records.size >= RECORD_LIMIT;
  }

  /**
   * Records that an id is queued or runs; called before the backend server hears of it.
   * @param expiryMs - Time until which the record lasts, monotonic milliseconds.
   * @returns False when the table is full; the request must not run then.
   */
  begin(id: string, digest: string, expiryMs: number): boolean {
    if (this.isFull()) {
      return false;
    }
    this.#records.set(id, { state: { kind: 'inProgress' }, digest, expiryMs });
    return true;
  }

  /** Stores the answer of a run. Answers over the byte limit are only noted as given. */
  recordAnswer(id: string, answer: StoredAnswer): 'stored' | 'notKept' {
    if (this.#storedBytes + answer.bodySize > STORED_BYTES_LIMIT) {
      this.#setState(id, { kind: 'answerNotKept' });
      return 'notKept';
    }
    this.#storedBytes += answer.bodySize;
    this.#setState(id, { kind: 'answered', answer });
    return 'stored';
  }

  /** Records that a run ended in a way that leaves its outcome unknown. */
  recordUnknown(id: string): void {
    this.#setState(id, { kind: 'unknown' });
  }

  /**
   * Makes sure that an id that did not run never will.
   * @returns False when the table is full, so that this cannot be promised.
   */
  recordVoid(id: string, digest: string, expiryMs: number): boolean {
    const record = this.#records.get(id);
    if (record !== undefined) {
      record.state = { kind: 'void' };
      return true;
    }
    if (this.isFull()) {
      return false;
    }
    this.#records.set(id, { state: { kind: 'void' }, digest, expiryMs });
    return true;
  }

  /**
   * Forgets expired records.
   * @returns Names of the kept bodies that the host may release.
   */
  advance(nowMs: number): readonly string[] {
    if (nowMs < this.#nextSweepMs) {
      return [];
    }
    this.#nextSweepMs = nowMs + SWEEP_INTERVAL_MS;
    this.#records.forEach((record, id) => this.#dropIfExpired(id, record, nowMs));
    return this.#released.splice(0);
  }

  /** Shows counts for the state dump. */
  snapshot(): object {
    return {
      records: this.#records.size,
      recordLimit: RECORD_LIMIT,
      storedBytes: this.#storedBytes,
    };
  }

  #setState(id: string, state: OnceRecord['state']): void {
    const record = this.#records.get(id);
    if (record !== undefined) {
      record.state = state;
    }
  }

  #dropIfExpired(id: string, record: OnceRecord, nowMs: number): void {
    if (record.state.kind === 'inProgress' || nowMs < record.expiryMs) {
      return;
    }
    this.#records.delete(id);
    if (record.state.kind === 'answered') {
      this.#storedBytes -= record.state.answer.bodySize;
      this.#release(record.state.answer.bodyOf);
    }
  }

  #release(bodyOf: string): void {
    if (bodyOf !== '') {
      this.#released.push(bodyOf);
    }
  }
}
