import type { SlotLimit } from './SlotLimit.js';

/**
 * Part of the declared slots that is used. Backend servers with a load knee slow all their work down when they are
 * nearly full, from 0.95 of their slots, and health checks need a slot too.
 */
const USED_PART = 0.94;

/** Uses a fixed part of the declared slots, for backend servers whose declaration can be trusted. */
export class DeclaredLimit implements SlotLimit {
  #slots: number;

  /** Runs since the backend server was last down; shown only. */
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
    return Math.max(1, Math.floor(this.#slots * USED_PART));
  }

  record(): void {
    this.#runs += 1;
  }

  snapshot(): object {
    return { limit: this.read(), slots: this.#slots, runs: this.#runs };
  }
}
