import { BudgetReservation } from './BudgetReservation.js';
import type { Reservation } from './BudgetReservation.js';

/** Counted reference to a body. The body is charged to the budget until its last reference is released. */
export interface BodyReference {
  readonly bytes: Buffer;

  /** Releases this reference; further calls have no effect. */
  release(): void;
}

interface StoredBody {
  readonly bytes: Buffer;
  readonly reservation: Reservation;
  readonly owner: string;
  references: number;
}

/** Name that stands for an empty body. */
const NO_BODY = '';

const EMPTY_BODY: BodyReference = { bytes: Buffer.alloc(0), release: () => undefined };

/** Maximum number of names in the state dump. */
const MAX_SNAPSHOT_NAMES = 32;

/**
 * Stores the bodies of requests and answers by request id or call id, within one budget for the process. Bodies are
 * reference-counted: one body may have several names, and links that are still sending it hold references.
 */
export class BodyStore {
  readonly #budget: number;

  readonly #bodies = new Map<string, StoredBody>();

  #used = 0;

  #peak = 0;

  #refused = 0;

  /** @param budget - Maximum bytes that the process buffers. */
  constructor(budget: number) {
    this.#budget = budget;
  }

  /**
   * Reserves budget for a body.
   * @param size - Size in bytes.
   * @returns Undefined when the budget is exhausted.
   */
  tryReserve(size: number): Reservation | undefined {
    const reservation = new BudgetReservation((bytes) => this.#tryCharge(bytes));
    return reservation.tryGrow(size) ? reservation : undefined;
  }

  /**
   * Stores a body and releases one that has the name already. An empty body is not stored: the decision engine refers
   * to it by the empty name and does not release it.
   * @param name - Request id or call id.
   * @param bytes - The whole body.
   * @param reservation - Budget reserved for the body; the store releases it.
   * @param owner - Peer that chose the name. By default the owner of the replaced body, or this process.
   */
  add(name: string, bytes: Buffer, reservation: Reservation, owner?: string): void {
    const kept = owner ?? this.findOwner(name) ?? '';
    this.release(name);
    if (bytes.length === 0) {
      reservation.release();
      return;
    }
    this.#bodies.set(name, { bytes, reservation, owner: kept, references: 1 });
  }

  /**
   * Finds the peer that chose the name of a stored body.
   * @param name - Request id or call id.
   * @returns Name of the peer; empty for names of this process, undefined when no body has the name.
   */
  findOwner(name: string): string | undefined {
    return this.#bodies.get(name)?.owner;
  }

  /**
   * Adds a reference to a stored body, which keeps the body when its name is released.
   * @param name - Request id or call id; the empty name gives an empty body.
   * @returns Undefined when no body has the name.
   */
  takeReference(name: string): BodyReference | undefined {
    if (name === NO_BODY) {
      return EMPTY_BODY;
    }
    const body = this.#bodies.get(name);
    if (body === undefined) {
      return undefined;
    }
    body.references += 1;
    let isHeld = true;
    return {
      bytes: body.bytes,
      release: () => {
        if (isHeld) {
          isHeld = false;
          drop(body);
        }
      },
    };
  }

  /**
   * Gives a stored body a second name. A body that has the second name already is released.
   * @param from - Name of the body.
   * @param to - Additional name.
   * @returns False when no body has the name `from`.
   */
  addAlias(from: string, to: string): boolean {
    const body = this.#bodies.get(from);
    if (body === undefined) {
      return false;
    }
    if (from === to) {
      return true;
    }
    body.references += 1;
    this.release(to);
    this.#bodies.set(to, body);
    return true;
  }

  /**
   * Removes a name and its reference to the body.
   * @param name - Request id or call id; an unknown name has no effect.
   */
  release(name: string): void {
    const body = this.#bodies.get(name);
    if (body !== undefined) {
      this.#bodies.delete(name);
      drop(body);
    }
  }

  /** Returns the use of the budget in bytes, and up to 32 names, for the state dump. */
  snapshot(): object {
    return {
      budget: this.#budget,
      used: this.#used,
      peak: this.#peak,
      refused: this.#refused,
      count: this.#bodies.size,
      names: [...this.#bodies.keys()].slice(0, MAX_SNAPSHOT_NAMES),
    };
  }

  /** Number of reserved bytes. */
  get used(): number {
    return this.#used;
  }

  /** Number of names that refer to a body. */
  get count(): number {
    return this.#bodies.size;
  }

  #tryCharge(bytes: number): boolean {
    if (bytes > 0 && this.#used + bytes > this.#budget) {
      this.#refused += 1;
      return false;
    }
    this.#used += bytes;
    this.#peak = Math.max(this.#peak, this.#used);
    return true;
  }
}

function drop(body: StoredBody): void {
  // All names and references share this record, so that the budget is released exactly once.
  // eslint-disable-next-line no-param-reassign
  body.references -= 1;
  if (body.references === 0) {
    body.reservation.release();
  }
}
