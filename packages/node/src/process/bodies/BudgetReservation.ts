/** Part of the budget taken before the bytes are there. */
export interface Reservation {
  /** Reserved size, in bytes. */
  readonly size: number;

  /**
   * Reserves more.
   * @param size - Further bytes.
   * @returns False when the budget does not allow it; nothing changes then.
   */
  tryGrow(size: number): boolean;

  /** Gives the bytes back; later calls have no effect. */
  release(): void;
}

/** A part of a budget that is counted elsewhere. */
export class BudgetReservation implements Reservation {
  readonly #take: (bytes: number) => boolean;

  #size = 0;

  /** @param take - Changes the use of the budget; false when it does not allow the change. */
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
