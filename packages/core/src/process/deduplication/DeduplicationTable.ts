import type { HeaderPair } from '../node/NodeMessage.js';

/** Largest number of records; each takes about 200 bytes. */
const RECORD_LIMIT = 20_000;

/** Largest total size of the stored answer bodies, in bytes. */
const STORED_BYTES_LIMIT = 32 * 1024 * 1024;

/** Time between two sweeps for expired records; a sweep of a full table takes about 1 ms. */
const SWEEP_INTERVAL_MS = 1_000;

/** An answer kept for repeats of its request. The host keeps the body under the name `bodyOf`, empty without a body. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: readonly HeaderPair[];
  readonly bodySize: number;
  readonly bodyOf: string;
  /** Whether the end of the body was marked only by the close of the connection. */
  readonly closeDelimited: boolean;
}

/** State of a request that may run at most once. */
export type DeduplicationState =
  /** There is no record; the request may be queued and run. */
  | { readonly kind: 'new' }
  | { readonly kind: 'inProgress' }
  | { readonly kind: 'answered'; readonly answer: StoredAnswer }
  /** It was answered, but there was no room to store the answer. */
  | { readonly kind: 'answerNotKept' }
  /** It was sent to the backend server, and its outcome cannot be known. */
  | { readonly kind: 'unknown' }
  /** It was refused as not run and must never run under this id. */
  | { readonly kind: 'void' }
  /** The id was used before for a request with another method, target or body. */
  | { readonly kind: 'mismatch' };

interface DeduplicationRecord {
  state: Exclude<DeduplicationState, { kind: 'new' } | { kind: 'mismatch' }>;
  readonly digest: string;
  readonly expiryMs: number;
}

/**
 * Deduplication table of one incarnation for requests that run at most once. A record is written before the first byte
 * is sent to the backend server and kept until its expiry; an unexpired record is never evicted.
 */
export class DeduplicationTable {
  readonly #records = new Map<string, DeduplicationRecord>();

  #storedBytes = 0;

  readonly #released: string[] = [];

  #nextSweepMs = 0;

  /**
   * Finds the state of a request.
   * @param id - Key of the record, made from the id of the ticket or, without a ticket, from the id of the call.
   * @param digest - Method, target and body digest of the request.
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

  /** Returns whether the table has no room for another record. */
  isFull(): boolean {
    return this.#records.size >= RECORD_LIMIT;
  }

  /**
   * Adds a record in the state `inProgress`; called before the request is sent to the backend server.
   * @param id - Key of the record.
   * @param digest - Method, target and body digest, which a repeat must have too.
   * @param expiryMs - Time until which the record is kept, in monotonic milliseconds.
   * @returns False if the table is full; the request must not run then.
   */
  begin(id: string, digest: string, expiryMs: number): boolean {
    if (this.isFull()) {
      return false;
    }
    this.#records.set(id, { state: { kind: 'inProgress' }, digest, expiryMs });
    return true;
  }

  /**
   * Stores the answer to a request.
   * @param id - Key of the record.
   * @param answer - Answer; the size limit counts its body.
   * @returns `notKept` if it does not fit the size limit; then only the fact that it was answered is recorded.
   */
  recordAnswer(id: string, answer: StoredAnswer): 'stored' | 'notKept' {
    if (this.#storedBytes + answer.bodySize > STORED_BYTES_LIMIT) {
      this.#setState(id, { kind: 'answerNotKept' });
      return 'notKept';
    }
    this.#storedBytes += answer.bodySize;
    this.#setState(id, { kind: 'answered', answer });
    return 'stored';
  }

  /** Records that the outcome of a run cannot be known. */
  recordUnknown(id: string): void {
    this.#setState(id, { kind: 'unknown' });
  }

  /**
   * Records that a request has not run and must never run under this id; adds a record if there is none.
   * @param id - Key of the record.
   * @param digest - Method, target and body digest of the request.
   * @param expiryMs - Time until which a new record is kept, in monotonic milliseconds.
   * @returns False if the table is full; then this cannot be guaranteed.
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
   * Removes expired records, at most once a second; `nowMs` is monotonic.
   * @returns Names of stored bodies that the host may release.
   */
  advance(nowMs: number): readonly string[] {
    if (nowMs < this.#nextSweepMs) {
      return [];
    }
    this.#nextSweepMs = nowMs + SWEEP_INTERVAL_MS;
    this.#records.forEach((record, id) => this.#dropIfExpired(id, record, nowMs));
    return this.#released.splice(0);
  }

  /** Returns the counts for the state dump. */
  snapshot(): object {
    return {
      records: this.#records.size,
      recordLimit: RECORD_LIMIT,
      storedBytes: this.#storedBytes,
    };
  }

  #setState(id: string, state: DeduplicationRecord['state']): void {
    const record = this.#records.get(id);
    if (record !== undefined) {
      record.state = state;
    }
  }

  #dropIfExpired(id: string, record: DeduplicationRecord, nowMs: number): void {
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
