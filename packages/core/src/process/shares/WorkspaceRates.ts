import type { Bundle, Workspace } from '@tanagerpond/bundle';
import { DelayedRateReductions } from './DelayedRateReductions.js';

/** How the rates of a bundle are applied. */
export interface RateOptions {
  /** Part by which the sum over the fleet may exceed rate and burst; 0 by default. */
  readonly excess?: number;
  /** Time for which a rate that a bundle lowers stays as it was, in milliseconds; 0 by default. */
  readonly lowerAfterMs?: number;
}

/** Rates and bursts that the ledger hands out, of the workspaces that have a rate. */
export class WorkspaceRates {
  readonly #factor: number;

  readonly #lowered: DelayedRateReductions;

  /** @param options - Excess and delay. */
  constructor({ excess = 0, lowerAfterMs = 0 }: RateOptions) {
    this.#factor = 1 + excess;
    this.#lowered = new DelayedRateReductions(lowerAfterMs);
  }

  /**
   * Takes a bundle.
   * @param bundle - Bundle that comes into force.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The rates that are in force now.
   */
  apply(bundle: Bundle, nowMs: number): ReadonlyMap<string, Workspace> {
    const metered = [...bundle.workspaces].filter(([, { unmetered }]) => unmetered !== true);
    const scaled = metered.map(([name, workspace]): [string, Workspace] => [
      name,
      {
        ...workspace,
        rate: workspace.rate * this.#factor,
        burst: workspace.burst * this.#factor,
      },
    ]);
    return this.#lowered.apply(new Map(scaled), nowMs);
  }

  /**
   * Ends earlier rates whose time is over.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The rates that are in force now, or undefined when none has changed.
   */
  advance(nowMs: number): ReadonlyMap<string, Workspace> | undefined {
    return this.#lowered.advance(nowMs);
  }
}
