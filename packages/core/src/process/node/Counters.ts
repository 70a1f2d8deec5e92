/** Monotonic counters of one process, for metrics and the state dump. */
export class Counters {
  readonly #counts = new Map<string, number>();

  /**
   * Increments a counter.
   * @param name - Name in camel case; the counter is created on first use.
   * @param amount - Amount to add.
   */
  count(name: string, amount = 1): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + amount);
  }

  /** Reads all counters, by name. */
  read(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#counts);
  }
}
