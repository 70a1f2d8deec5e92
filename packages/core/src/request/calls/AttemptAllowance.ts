/**
 * Extra attempts that a call and its subtree may still make, in units of one attempt. It limits the retries of one call
 * tree, in addition to the retry budget of each service. Every extra attempt anywhere in the tree takes one unit out of
 * exactly one allowance, and units only move between parent and child. Therefore no call of the tree is attempted more
 * than 1 + N times, where N is the allowance of the root, however deep the tree is.
 */
export class AttemptAllowance {
  #remaining: number;

  /** @param units - Extra attempts granted by the parent or, at the root, by the bundle. */
  constructor(units: number) {
    this.#remaining = units;
  }

  /** Units that are neither spent nor granted to a child. */
  get remaining(): number {
    return this.#remaining;
  }

  /**
   * Takes one unit for an extra attempt of this call.
   * @returns False when none is left.
   */
  tryTake(): boolean {
    if (this.#remaining === 0) {
      return false;
    }
    this.#remaining -= 1;
    return true;
  }

  /**
   * Grants units to a child call: half of the remaining ones, rounded up, so that some are left for its siblings or for
   * a second attempt.
   * @param canUse - Whether the child can make calls of its own; if not, it is granted none.
   */
  grantToChild(canUse: boolean): number {
    if (!canUse) {
      return 0;
    }
    const granted = Math.floor((this.#remaining + 1) / 2);
    this.#remaining -= granted;
    return granted;
  }

  /**
   * Adds the units that a child did not spend back to this allowance, at most as many as the child was granted.
   * @param granted - Units that the child was granted.
   * @param unspent - Unspent units that the child reports.
   */
  returnUnspent(granted: number, unspent: number): void {
    this.#remaining += Math.max(0, Math.min(granted, unspent));
  }
}
