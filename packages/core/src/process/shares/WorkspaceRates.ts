import type { Bundle, Workspace } from '@tanagerpond/bundle';
import { DelayedRateReductions } from './DelayedRateReductions.js';

/** Options for applying the rates of a bundle. */
export interface RateOptions {
  /** Fraction by which the whole fleet may exceed each rate and burst; 0 by default. */
  readonly excess?: number;
  /** Delay before a lower rate of a new bundle becomes active, in milliseconds; 0 by default. */
  readonly lowerAfterMs?: number;
}

/** Rates and bursts that the rate limiter enforces, without those of unmetered workspaces. */
export class WorkspaceRates {
  readonly #factor: number;

  readonly #reductions: DelayedRateReductions;

  /** @param options - Excess and delay of reductions. */
  constructor({ excess = 0, lowerAfterMs = 0 }: RateOptions) {
    this.#factor = 1 + excess;
    this.#reductions = new DelayedRateReductions(lowerAfterMs);
  }

  /**
   * Applies the rates of a bundle.
   * @param bundle - Bundle that becomes active.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The rates that are active now.
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
    return this.#reductions.apply(new Map(scaled), nowMs);
  }

  /**
   * Activates the delayed rate reductions that are due.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The rates that are active now, or undefined if none has changed.
   */
  advance(nowMs: number): ReadonlyMap<string, Workspace> | undefined {
    return this.#reductions.advance(nowMs);
  }
}
