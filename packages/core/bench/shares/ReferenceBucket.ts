/** A request of the ledger may wait as long. */
export const WAIT_MS = 100;

/** Token bucket on true time. */
export class ReferenceBucket {
  readonly #rate: number;

  readonly #burst: number;

  #level: number;

  #updatedMs = 0;

  constructor(rate: number, burst: number) {
    this.#rate = rate;
    this.#burst = burst;
    this.#level = burst;
  }

  /**
   * Consumes a token if there is one, or will be one after at most the given wait.
   * @param nowMs - Time, in milliseconds.
   * @param waitMs - Longest wait, in milliseconds.
   */
  tryConsume(nowMs: number, waitMs = 0): boolean {
    const refill = ((nowMs - this.#updatedMs) * this.#rate) / 1_000;
    this.#level = Math.min(this.#burst, this.#level + refill);
    this.#updatedMs = nowMs;
    const credit = (waitMs * this.#rate) / 1_000;
    if (this.#level + credit < 1) {
      return false;
    }
    this.#level -= 1;
    return true;
  }
}
