/** Budget reserved for a body before its bytes arrive. */
export interface Reservation {
  /** Reserved size, in bytes. */
  readonly size: number;

  /**
   * Reserves additional bytes.
   * @param size - Additional size in bytes.
   * @returns False, with the reservation unchanged, when the budget is exhausted.
   */
  tryGrow(size: number): boolean;

  /** Returns the reserved bytes to the budget; further calls have no effect. */
  release(): void;
}

/** Reservation in a budget that the creator accounts for. */
export class BudgetReservation implements Reservation {
  readonly #take: (bytes: number) => boolean;

  #size = 0;

  /** @param take - Changes the used part of the budget by a number of bytes; returns false when that is refused. */
  constructor(take: (bytes: number) => boolean) {
    this.#take = take;
  }

  get size(): number {
    return this.#size;
  }

  tryGrow(size: number): boolean {
    if (!this.#take(size)) {
      return false;
    }
    this.#size += size;
    return true;
  }

  release(): void {
    this.#take(-this.#size);
    this.#size = 0;
  }
}
