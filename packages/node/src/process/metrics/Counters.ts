/** Event counters of the node process, published in the metrics and the state dump. */
export class Counters {
  readonly #values = new Map<string, number>();

  /**
   * Increments the counter of an event.
   * @param name - Name in snake case, without the common prefix of the metrics.
   * @param by - Increment.
   */
  count(name: string, by = 1): void {
    this.#values.set(name, (this.#values.get(name) ?? 0) + by);
  }

  /** Returns every counter that was incremented. */
  read(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#values);
  }
}
