/** What was last known of a link when it was lost; times are monotonic, in milliseconds. */
export interface LostLink {
  /** Incarnation at the other end. */
  readonly incarnation: string;
  /** Last frame of the peer. */
  readonly lastFrameMs: number;
  readonly lostMs: number;
}

/** Links that are remembered; beyond it the one that was lost first is forgotten. */
const LINKS = 4_096;

/** Links that were lost and have not come back, so that log lines can tell how long they are away. */
export class LostLinks {
  readonly #lost = new Map<string, LostLink>();

  /**
   * Records a loss.
   * @param peer - VM at the other end.
   * @param lost - What was last known.
   */
  record(peer: string, lost: LostLink): void {
    this.#lost.delete(peer);
    this.#lost.set(peer, lost);
    if (this.#lost.size > LINKS) {
      const [oldest] = this.#lost.keys();
      this.#lost.delete(oldest);
    }
  }

  /**
   * Finds what was last known of a lost link.
   * @param peer - VM at the other end.
   */
  find(peer: string): LostLink | undefined {
    return this.#lost.get(peer);
  }

  /**
   * Forgets a link that is back.
   * @param peer - VM at the other end.
   * @returns What was last known; undefined when it had not been lost.
   */
  take(peer: string): LostLink | undefined {
    const lost = this.#lost.get(peer);
    this.#lost.delete(peer);
    return lost;
  }
}
