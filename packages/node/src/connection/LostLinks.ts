/** Last known state of a lost link; times are monotonic, in milliseconds. */
export interface LostLink {
  /** Incarnation of the peer. */
  readonly incarnation: string;
  /** Time of the last frame of the peer. */
  readonly lastFrameMs: number;
  readonly lostMs: number;
}

/** Maximum number of entries; beyond it the link that was lost first is removed. */
const MAX_LINKS = 4_096;

/** Last known state of the links that were lost and are not restored, for the log lines about their return. */
export class LostLinks {
  readonly #lost = new Map<string, LostLink>();

  /**
   * Records a lost link.
   * @param peer - Name of the VM at the other end.
   * @param lost - Last known state.
   */
  record(peer: string, lost: LostLink): void {
    this.#lost.delete(peer);
    this.#lost.set(peer, lost);
    if (this.#lost.size > MAX_LINKS) {
      const [oldest] = this.#lost.keys();
      this.#lost.delete(oldest);
    }
  }

  /**
   * Finds the last known state of a lost link.
   * @param peer - Name of the VM at the other end.
   */
  find(peer: string): LostLink | undefined {
    return this.#lost.get(peer);
  }

  /**
   * Removes a link that is restored.
   * @param peer - Name of the VM at the other end.
   * @returns Last known state; undefined when the link had not been lost.
   */
  take(peer: string): LostLink | undefined {
    const lost = this.#lost.get(peer);
    this.#lost.delete(peer);
    return lost;
  }
}
