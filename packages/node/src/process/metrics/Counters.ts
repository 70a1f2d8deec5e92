/** Event counters of the host, shown on the admin listener. */
export class Counters {
  readonly #values = new Map<string, number>();

  /**
   * Counts an event.
   * @param name - Name in snake case, without the prefix of the process.
   * @param by - Amount.
   */
  count(name: string, by = 1): void {
    this.#values.set(name, (this.#values.get(name) ?? 0) + by);
  }

  /** Reads every counter that has counted. */
  read(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#values);
  }
}
