/**
 * Time for which a VM that is no longer listed may still use its share, in milliseconds: its lease, the time until all
 * nodes have the new list, and the time until its process has ended or has learned that it is not listed.
 */
const DEPARTURE_MS = 6_000;

/**
 * Time without a new VM in a list of a few after which it counts as complete, in milliseconds. After an outage of their
 * source, living VMs are listed again one by one, each within its interval of registration.
 */
const LIST_SETTLE_MS = 1_600;

/** Number of listed VMs above which that time is shorter in proportion: they follow each other sooner. */
const FEW_VMS = 4;

/** Minimum of that time, in milliseconds; peers may take that long to pass a new list on. */
const MIN_LIST_SETTLE_MS = 800;

/** A size of the list, and the time of the last list of that size or a larger one. */
interface ListedSize {
  readonly size: number;
  lastMs: number;
}

/**
 * Number of VMs among which the rates must be divided, so that all nodes together never use more than the whole. It rises
 * with the list at once, and falls only when the VMs that are gone can no longer use their shares.
 */
export class FleetSize {
  /** Sizes in falling order; each one was the largest since the time of the one before. */
  #sizes: ListedSize[] = [];

  #current = 0;

  /** Time of the last list that was larger than the one before; undefined before the first one. */
  #grownMs: number | undefined;

  /**
   * Records the size of a list of VMs.
   * @param size - Number of listed VMs.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  record(size: number, nowMs: number): void {
    if (size > this.#current) {
      this.#grownMs = nowMs;
    }
    this.#keepCurrent(nowMs);
    this.#current = size;
    this.#sizes = this.#sizes.filter((one) => one.size > size);
    this.#sizes.push({ size, lastMs: nowMs });
  }

  /**
   * Computes the number of VMs that may use a share; at least 1.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  compute(nowMs: number): number {
    this.#keepCurrent(nowMs);
    this.#sizes = this.#sizes.filter(({ lastMs }) => nowMs - lastMs < DEPARTURE_MS);
    return Math.max(1, this.#sizes[0]?.size ?? 0);
  }

  /**
   * Computes the time from which the list counts as complete, in milliseconds; infinite while no VM is listed.
   */
  computeSettledMs(): number {
    if (this.#grownMs === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    const settleMs = (LIST_SETTLE_MS * FEW_VMS) / Math.max(FEW_VMS, this.#current);
    return this.#grownMs + Math.max(MIN_LIST_SETTLE_MS, settleMs);
  }

  /** The size of the last list holds until the next one. */
  #keepCurrent(nowMs: number): void {
    const current = this.#sizes.at(-1);
    if (current !== undefined) {
      current.lastMs = nowMs;
    }
  }
}
