import { BudgetReservation } from './BudgetReservation.js';
import type { Reservation } from './BudgetReservation.js';

/** Bytes that one part of the process holds; charged to the budget until the last holder releases them. */
export interface BodyReference {
  readonly bytes: Buffer;

  /** Ends this hold; later calls have no effect. */
  release(): void;
}

interface StoredBody {
  readonly bytes: Buffer;
  readonly reservation: Reservation;
  readonly owner: string;
  references: number;
}

/** Name by which the decisions say that there is no body. */
const NO_BODY = '';

const EMPTY_BODY: BodyReference = { bytes: Buffer.alloc(0), release: () => undefined };

/** Names shown in the state dump. */
const SNAPSHOT_NAMES = 32;

/**
 * Keeps request bodies and answers under the names that the decisions use, within one budget for the process. The
 * same bytes may be kept under several names and be held by links that are still sending them.
 */
export class BodyStore {
  readonly #budget: number;

  readonly #bodies = new Map<string, StoredBody>();

  #used = 0;

  #peak = 0;

  #refused = 0;

  /** @param budget - Most bytes that the process buffers. */
  constructor(budget: number) {
    this.#budget = budget;
  }

  /**
   * Takes a part of the budget.
   * @param size - Size in bytes.
   * @returns Undefined when the budget is exhausted.
   */
  tryReserve(size: number): Reservation | undefined {
    const reservation = new BudgetReservation((bytes) => this.#take(bytes));
    return reservation.tryGrow(size) ? reservation : undefined;
  }

  /**
   * Keeps a body. A body that was kept under the name before is released. An empty body needs no keeping: the decisions
   * name it with the empty name and do not release it.
   * @param name - Request id or call id.
   * @param bytes - The whole body.
   * @param reservation - Budget taken for it; the store releases it.
   * @param owner - Peer that chose the name; by default the owner of the body that is replaced, or this process.
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
   * Finds the peer that chose a name; empty for names of this process.
   * @param name - Request id or call id.
   */
  findOwner(name: string): string | undefined {
    return this.#bodies.get(name)?.owner;
  }

  /**
   * Holds a kept body beyond the release of its name.
   * @param name - Request id or call id.
   * @returns Undefined when nothing is kept under the name; an empty body for the empty name.
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
    let held = true;
    return {
      bytes: body.bytes,
      release: () => {
        if (held) {
          held = false;
          drop(body);
        }
      },
    };
  }

  /**
   * Keeps the body of one name under a second name as well.
   * @param from - Name that the body has.
   * @param to - Further name.
   * @returns False when nothing is kept under `from`.
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
   * Forgets a name.
   * @param name - Request id or call id; an unknown one has no effect.
   */
  release(name: string): void {
    const body = this.#bodies.get(name);
    if (body !== undefined) {
      this.#bodies.delete(name);
      drop(body);
    }
  }

  /** Shows the use of the budget, in bytes, and some of the names. */
  snapshot(): object {
    return {
      budget: this.#budget,
      used: this.#used,
      peak: this.#peak,
      refused: this.#refused,
      count: this.#bodies.size,
      names: [...this.#bodies.keys()].slice(0, SNAPSHOT_NAMES),
    };
  }

  /** Bytes in use. */
  get used(): number {
    return this.#used;
  }

  /** Number of names that keep a body. */
  get count(): number {
    return this.#bodies.size;
  }

  #take(bytes: number): boolean {
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
  // The references are counted on the shared record, so that the budget is given back exactly once.
  // eslint-disable-next-line no-param-reassign
  body.references -= 1;
  if (body.references === 0) {
    body.reservation.release();
  }
}
