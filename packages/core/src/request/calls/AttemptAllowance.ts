/**
 * Extra attempts that a call and its subtree may still make. Every extra attempt anywhere in the tree takes one unit out
 * of exactly one allowance, and units only move between parent and child. So no call of the tree is attempted more often
 * than one time and the allowance of its root, however deep it is.
 */
export class AttemptAllowance {
  #remaining: number;

  /** @param units - Extra attempts granted by the parent or, at the root, by the bundle. */
  constructor(units: number) {
    this.#remaining = units;
  }

  /** Units that nobody has taken. */
  get remaining(): number {
    return this.#remaining;
  }

  /**
   * Takes one unit for an own extra attempt.
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
   * Hands units to a child call: the larger half, so that some are left for its siblings or for a second attempt.
   * @param canUse - The child makes calls of its own.
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
   * Takes back what a child did not spend. A child cannot return more than it was given.
   * @param granted - Units that the child was given.
   * @param unspent - Units that it says it has left.
   */
  returnUnspent(granted: number, unspent: number): void {
    this.#remaining += Math.max(0, Math.min(granted, unspent));
  }
}
