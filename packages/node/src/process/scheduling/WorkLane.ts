/** Piece of work; `waitedMs` is the time since it was added, in milliseconds. */
export type WorkTask = (waitedMs: number) => void;

/** A piece of work and the monotonic time at which it was added, in milliseconds. */
export interface WorkEntry {
  readonly task: WorkTask;
  readonly addedMs: number;
}

/** Work of one kind in the order of arrival. Added work is ready from the next call of `advance` on. */
export class WorkLane {
  #added: WorkEntry[] = [];

  /** Work that may be handled, from `#position` on. */
  #ready: WorkEntry[] = [];

  #position = 0;

  /** Number of pieces of work that wait. */
  get size(): number {
    return this.#added.length + this.#ready.length - this.#position;
  }

  /**
   * Adds a piece of work.
   * @param entry - The work.
   */
  add(entry: WorkEntry): void {
    this.#added.push(entry);
  }

  /** Takes the next piece of work that is ready. */
  take(): WorkEntry | undefined {
    if (this.#position === this.#ready.length) {
      return undefined;
    }
    this.#position += 1;
    return this.#ready[this.#position - 1];
  }

  /** Makes the added work ready. */
  advance(): void {
    this.#ready = this.#ready.slice(this.#position).concat(this.#added);
    this.#position = 0;
    this.#added = [];
  }
}
