import type { Workspace } from '@tanagerpond/bundle';
import { MAX_TOKEN_WAIT_MS, ROUNDING_TOLERANCE } from './shareLimits.js';

/** A holder that had nothing is asked again once within the wait of a request. */
const RETRY_MS = 0.9 * MAX_TOKEN_WAIT_MS;

/** No holder is asked for the same workspace more often, whatever it answers. */
const MIN_INTERVAL_MS = 20;

/** After repeated refusals the retry time doubles this many times at most. */
const MAX_DOUBLINGS = 2;

interface Estimate {
  level: number;
  atMs: number;
  askedMs: number;
  /** Time of the last answer; undefined before the first. */
  answeredMs: number | undefined;
  /** Answers in a row that left the holder empty. */
  dry: number;
}

/** What a spender believes about the tokens of each holder: what the last grant left there, and the refill since. */
export class HolderLevelEstimates {
  readonly #estimates = new Map<string, Map<string, Estimate>>();

  /**
   * Reads the tokens that a holder probably has.
   * @param workspace - Workspace.
   * @param holder - Name of the holder.
   * @param holders - Number of holders, over which rate and burst are spread.
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
   * Tells whether a holder was asked a moment ago.
   * @param workspace - Workspace.
   * @param holder - Name of the holder.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isRecentlyRequested(workspace: Workspace, holder: string, nowMs: number): boolean {
    const askedMs = this.#estimates.get(workspace.name)?.get(holder)?.askedMs;
    return askedMs !== undefined && nowMs - askedMs < MIN_INTERVAL_MS;
  }

  /**
   * Tells whether to ask a holder now, although it has less than is needed.
   * @param workspace - Workspace.
   * @param holder - Name of the holder.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isRetryDue(workspace: Workspace, holder: string, nowMs: number): boolean {
    const estimate = this.#estimates.get(workspace.name)?.get(holder);
    if (estimate === undefined) {
      return true;
    }
    const doublings = Math.min(MAX_DOUBLINGS, Math.max(0, estimate.dry - 1));
    return nowMs - estimate.askedMs >= RETRY_MS * 2 ** doublings;
  }

  /**
   * Records a request to a holder.
   * @param workspace - Workspace.
   * @param holder - Name of the holder.
   * @param level - Tokens that it will probably have left.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordRequest(workspace: Workspace, holder: string, level: number, nowMs: number): void {
    const known = this.#estimates.get(workspace.name) ?? new Map<string, Estimate>();
    const { dry = 0, answeredMs } = known.get(holder) ?? {};
    known.set(holder, { level: Math.max(0, level), atMs: nowMs, askedMs: nowMs, answeredMs, dry });
    this.#estimates.set(workspace.name, known);
  }

  /**
   * Records the answer of a holder.
   * @param name - Name of the workspace.
   * @param holder - Name of the holder.
   * @param left - Tokens left there.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordAnswer(name: string, holder: string, left: number, nowMs: number): void {
    const estimate = this.#estimates.get(name)?.get(holder);
    if (estimate !== undefined) {
      const dry = left > ROUNDING_TOLERANCE ? 0 : estimate.dry + 1;
      Object.assign(estimate, { level: left, atMs: nowMs, answeredMs: nowMs, dry });
    }
  }

  /**
   * Measures the time since a holder last told how many tokens of a workspace it has left, in milliseconds.
   * @param name - Name of the workspace.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Undefined when none has told.
   */
  measureAnswerAge(name: string, nowMs: number): number | undefined {
    const answeredMs = [...(this.#estimates.get(name)?.values() ?? [])].flatMap(
      (estimate) => estimate.answeredMs ?? [],
    );
    return answeredMs.length === 0 ? undefined : nowMs - Math.max(...answeredMs);
  }

  /**
   * Forgets workspaces without demand, and holders that are not holders any more.
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

  /** Forgets every estimate. */
  clear(): void {
    this.#estimates.clear();
  }
}
