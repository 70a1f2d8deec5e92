/** Longest wait for a token, the same as that of a request at the share ledger. */
export const WAIT_MS = 100;

/** Token bucket on the exact simulated time, without the clock errors of the nodes. */
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
   * Consumes a token if one is available now or within the given wait.
   * @param nowMs - Time, in milliseconds.
   * @param waitMs - Longest wait, in milliseconds.
   * @returns Whether a token was consumed.
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
