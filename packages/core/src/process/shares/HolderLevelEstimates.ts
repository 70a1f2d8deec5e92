import type { Workspace } from '@tanagerpond/bundle';
import { MAX_TOKEN_WAIT_MS, ROUNDING_TOLERANCE } from './shareLimits.js';

/**
 * Time after which a holder that had no tokens is asked again; just below the time that a request waits for a token.
 */
const RETRY_MS = 0.9 * MAX_TOKEN_WAIT_MS;

/** Shortest time between two requests to a holder for the same workspace, regardless of its answers. */
const MIN_INTERVAL_MS = 20;

/** Maximum number of times that the retry time doubles after repeated answers without tokens left. */
const MAX_DOUBLINGS = 2;

interface Estimate {
  /** Estimated number of tokens at `atMs`. */
  level: number;
  atMs: number;
  requestedMs: number;
  /** Time of the last answer; undefined before the first. */
  answeredMs: number | undefined;
  /** Number of consecutive answers after which the holder had no tokens left. */
  emptyAnswers: number;
}

/** Estimates how many tokens each holder has: the number that it last reported, plus the refill since then. */
export class HolderLevelEstimates {
  readonly #estimates = new Map<string, Map<string, Estimate>>();

  /**
   * Reads the estimated number of tokens of a holder; a holder that was never asked is assumed to be full.
   * @param workspace - Workspace.
   * @param holder - Name of the holder.
   * @param holders - Number of holders, which share rate and burst equally.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  read(workspace: Workspace, holder: string, holders: number, nowMs: number): number {
    const capacity = workspace.burst / holders;
    const estimate = this.#estimates.get(workspace.name)?.get(holder);
    if (estimate === undefined) {
      return capacity;
    }
    const refill = (workspace.rate * (nowMs - estimate.atMs)) / 1_000 / holders;
    return Math.min(capacity, estimate.level + refill);
  }

  /**
   * Returns whether the last request to a holder is too recent for another one.
   * @param workspace - Workspace.
   * @param holder - Name of the holder.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isRecentlyRequested(workspace: Workspace, holder: string, nowMs: number): boolean {
    const requestedMs = this.#estimates.get(workspace.name)?.get(holder)?.requestedMs;
    return requestedMs !== undefined && nowMs - requestedMs < MIN_INTERVAL_MS;
  }

  /**
   * Returns whether enough time has passed to ask a holder again although it probably has too few tokens.
   * @param workspace - Workspace.
   * @param holder - Name of the holder.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isRetryDue(workspace: Workspace, holder: string, nowMs: number): boolean {
    const estimate = this.#estimates.get(workspace.name)?.get(holder);
    if (estimate === undefined) {
      return true;
    }
    const doublings = Math.min(MAX_DOUBLINGS, Math.max(0, estimate.emptyAnswers - 1));
    return nowMs - estimate.requestedMs >= RETRY_MS * 2 ** doublings;
  }

  /**
   * Records a request to a holder.
   * @param workspace - Workspace.
   * @param holder - Name of the holder.
   * @param level - Estimated number of tokens that it will have left.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordRequest(workspace: Workspace, holder: string, level: number, nowMs: number): void {
    const known = this.#estimates.get(workspace.name) ?? new Map<string, Estimate>();
    const { emptyAnswers = 0, answeredMs } = known.get(holder) ?? {};
    known.set(holder, {
      level: Math.max(0, level),
      atMs: nowMs,
      requestedMs: nowMs,
      answeredMs,
      emptyAnswers,
    });
    this.#estimates.set(workspace.name, known);
  }

  /**
   * Records the answer of a holder.
   * @param name - Name of the workspace.
   * @param holder - Name of the holder.
   * @param left - Number of tokens that the holder reports to have left.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordAnswer(name: string, holder: string, left: number, nowMs: number): void {
    const estimate = this.#estimates.get(name)?.get(holder);
    if (estimate !== undefined) {
      const emptyAnswers = left > ROUNDING_TOLERANCE ? 0 : estimate.emptyAnswers + 1;
      Object.assign(estimate, { level: left, atMs: nowMs, answeredMs: nowMs, emptyAnswers });
    }
  }

  /**
   * Measures the time since any holder last reported how many tokens of a workspace it has left, in milliseconds.
   * @param name - Name of the workspace.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Undefined if no holder has reported yet.
   */
  measureAnswerAge(name: string, nowMs: number): number | undefined {
    const answeredMs = [...(this.#estimates.get(name)?.values() ?? [])].flatMap(
      (estimate) => estimate.answeredMs ?? [],
    );
    return answeredMs.length === 0 ? undefined : nowMs - Math.max(...answeredMs);
  }

  /**
   * Removes the estimates for workspaces without demand and for VMs that are no longer holders.
   * @param demands - Demand by workspace.
   * @param holders - Names of the holders.
   */
  removeStale(demands: ReadonlyMap<string, unknown>, holders: readonly string[]): void {
    this.#estimates.forEach((known, name) => {
      if (!demands.has(name)) {
        this.#estimates.delete(name);
      } else if (known.size > holders.length) {
        const kept = new Set(holders);
        known.forEach((_, holder) => kept.has(holder) || known.delete(holder));
      }
    });
  }

  /** Removes all estimates. */
  clear(): void {
    this.#estimates.clear();
  }
}
