import type { Workspace } from '@tanagerpond/bundle';

/** Rates by workspace. */
type Rates = ReadonlyMap<string, Workspace>;

/**
 * Delays rate reductions of a new bundle. When a lower rate arrives, the callers of the workspace still send at the
 * earlier one, so the earlier rate and burst stay active for a configured time. All other changes apply immediately.
 */
export class DelayedRateReductions {
  readonly #delayMs: number;

  #target: Rates = new Map();

  #active: Rates = new Map();

  /** Time at which a reduction becomes active, by workspace. */
  readonly #dueMs = new Map<string, number>();

  /** @param delayMs - Time for which an earlier, higher rate stays active, in milliseconds. */
  constructor(delayMs: number) {
    this.#delayMs = delayMs;
  }

  /**
   * Applies the rates of a bundle.
   * @param target - Rates of the bundle.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The rates that are active now.
   */
  apply(target: Rates, nowMs: number): Rates {
    target.forEach((wanted, name) => this.#schedule(name, wanted, nowMs));
    this.#target = target;
    this.#update(nowMs);
    return this.#active;
  }

  /**
   * Activates the delayed reductions that are due.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The rates that are active now, or undefined if none has changed.
   */
  advance(nowMs: number): Rates | undefined {
    if (![...this.#dueMs.values()].some((dueMs) => dueMs <= nowMs)) {
      return undefined;
    }
    this.#update(nowMs);
    return this.#active;
  }

  /**
   * A second reduction does not extend the delay of the first one, so a series of bundles cannot keep a rate forever.
   */
  #schedule(name: string, wanted: Workspace, nowMs: number): void {
    const known = this.#active.get(name);
    const isLower = known !== undefined && isLowered(known, wanted);
    if (!isLower) {
      this.#dueMs.delete(name);
    } else if (!this.#dueMs.has(name)) {
      this.#dueMs.set(name, nowMs + this.#delayMs);
    }
  }

  #update(nowMs: number): void {
    const active = new Map<string, Workspace>();
    this.#target.forEach((wanted, name) => {
      const known = this.#active.get(name);
      const isKept = (this.#dueMs.get(name) ?? Number.NEGATIVE_INFINITY) > nowMs;
      if (!isKept) {
        this.#dueMs.delete(name);
      }
      active.set(name, isKept && known !== undefined ? keepHigher(known, wanted) : wanted);
    });
    [...this.#dueMs.keys()]
      .filter((name) => !active.has(name))
      .forEach((name) => this.#dueMs.delete(name));
    this.#active = active;
  }
}

function isLowered(known: Workspace, wanted: Workspace): boolean {
  return wanted.rate < known.rate || wanted.burst < known.burst;
}

function keepHigher(known: Workspace, wanted: Workspace): Workspace {
  return {
    ...wanted,
    rate: Math.max(known.rate, wanted.rate),
    burst: Math.max(known.burst, wanted.burst),
  };
}
