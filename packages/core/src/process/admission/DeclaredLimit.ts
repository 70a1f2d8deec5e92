import type { SlotLimit } from './SlotLimit.js';

/**
 * Fraction of the declared slots that is used. Some backend servers slow down all calls when more than 0.95 of their
 * slots are in use, and health checks need a slot too.
 */
const USED_FRACTION = 0.94;

/** Fixed limit of a little less than the declared slots, for backend servers whose declaration can be trusted. */
export class DeclaredLimit implements SlotLimit {
  #slots: number;

  /** Runs that ended since the backend server was last down; only for the state dump. */
  #runs = 0;

  /** @param slots - Declared number of slots. */
  constructor(slots: number) {
    this.#slots = slots;
  }

  configure(slots: number): void {
    this.#slots = slots;
  }

  reset(): void {
    this.#runs = 0;
  }

  read(): number {
    return Math.max(1, Math.floor(this.#slots * USED_FRACTION));
  }

  record(): void {
    this.#runs += 1;
  }

  snapshot(): object {
    return { limit: this.read(), slots: this.#slots, runs: this.#runs };
  }
}
