/** Monotonic counters of one process, for metrics and the state dump. */
export class Counters {
  readonly #counts = new Map<string, number>();

  /**
   * Adds to a counter.
   * @param name - Name in camel case; created when new.
   * @param amount - How much to add.
   */
  count(name: string, amount = 1): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + amount);
  }

  /** Reads every counter. */
  read(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#counts);
  }
}
