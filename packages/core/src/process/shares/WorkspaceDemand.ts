import type { Workspace } from '@tanagerpond/bundle';
import type { DemandSnapshot } from './ShareSnapshot.js';
import { MAX_TOKEN_WAIT_MS, ROUNDING_TOLERANCE } from './shareLimits.js';

/** Tokens that a holder lent to this node, and the capacity that covers them. They are not refilled. */
export interface BorrowedTokens {
  readonly holder: string;
  readonly leaseId: string;
  /** Fraction of the burst. */
  readonly capacity: number;
  level: number;
  /** End of the sublease on this node's clock, counted from before the request was sent. */
  readonly expiresMs: number;
}

/** A workspace whose estimated rate is below this value, in calls per millisecond, counts as idle. */
const MIN_RATE = 1e-5;

/** Time constant of the EWMA of the request rate. */
const RATE_TIME_CONSTANT_MS = 500;

/** Shortest interval between updates of the rate estimate; shorter ones would make the estimate noisy. */
const MIN_RATE_INTERVAL_MS = 20;

/** A node keeps tokens for the demand of this time, so that most requests need no round trip to a holder. */
const PREFETCH_MS = 300;

/**
 * Largest prefetch as a fraction of the burst, so that a node whose demand exceeds the rate does not borrow the whole
 * burst.
 */
const MAX_PREFETCH_BURST_FRACTION = 0.25;

/** Demand for one workspace at this node: waiting requests, the estimated request rate, and the borrowed tokens. */
export class WorkspaceDemand {
  workspace: Workspace;

  borrowed: BorrowedTokens[] = [];

  /** Time at which each waiting request is denied, by request id, in order of arrival. */
  readonly waiting = new Map<string, number>();

  #arrivals = 0;

  #ratePerMs = 0;

  #rateUpdatedMs: number;

  /**
   * @param workspace - The workspace.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  constructor(workspace: Workspace, nowMs: number) {
    this.workspace = workspace;
    this.#rateUpdatedMs = nowMs;
  }

  /** Counts a received request for the rate estimate. */
  recordArrival(): void {
    this.#arrivals += 1;
  }

  /**
   * Adds a request to the waiting ones.
   * @param requestId - Id of the request.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  wait(requestId: string, nowMs: number): void {
    this.waiting.set(requestId, nowMs + MAX_TOKEN_WAIT_MS);
  }

  /**
   * Updates the estimate of the request rate. Calls within 20 ms of the last update have no effect.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    const elapsedMs = nowMs - this.#rateUpdatedMs;
    if (elapsedMs < MIN_RATE_INTERVAL_MS) {
      return;
    }
    const weight = 1 - Math.exp(-elapsedMs / RATE_TIME_CONSTANT_MS);
    this.#ratePerMs += weight * (this.#arrivals / elapsedMs - this.#ratePerMs);
    this.#arrivals = 0;
    this.#rateUpdatedMs = nowMs;
  }

  /** Returns whether the workspace has no waiting requests, no borrowed tokens and hardly any requests. */
  isIdle(): boolean {
    return this.waiting.size === 0 && this.borrowed.length === 0 && this.#ratePerMs < MIN_RATE;
  }

  /** Computes how many tokens to keep in addition to those for waiting requests; 0 while the demand is small. */
  computePrefetch(): number {
    const maxTokens = this.workspace.burst * MAX_PREFETCH_BURST_FRACTION;
    return Math.floor(Math.min(this.#ratePerMs * PREFETCH_MS, maxTokens));
  }

  /**
   * Removes borrowed tokens whose sublease has expired.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  removeExpiredTokens(nowMs: number): void {
    if (this.borrowed.some((part) => part.expiresMs <= nowMs)) {
      this.borrowed = this.borrowed.filter((part) => part.expiresMs > nowMs);
    }
  }

  /** Counts the borrowed tokens. */
  countTokens(): number {
    return this.borrowed.reduce((sum, part) => sum + part.level, 0);
  }

  /**
   * Consumes borrowed tokens, starting with those whose sublease ends first.
   * @param tokens - Number of tokens wanted.
   * @returns The number of tokens that are still missing.
   */
  consume(tokens: number): number {
    let missing = tokens;
    this.borrowed.forEach((part) => {
      const used = Math.min(missing, part.level);
      Object.assign(part, { level: part.level - used });
      missing -= used;
    });
    return missing > ROUNDING_TOLERANCE ? missing : 0;
  }

  /**
   * Applies the limits of a new bundle and caps the borrowed tokens at the new burst.
   * @param workspace - The workspace in the bundle.
   */
  configure(workspace: Workspace): void {
    this.workspace = workspace;
    this.borrowed.forEach((part) =>
      Object.assign(part, { level: Math.min(part.level, part.capacity * workspace.burst) }),
    );
  }

  /** Returns the demand for the state dump. */
  snapshot(): DemandSnapshot {
    return {
      waiting: this.waiting.size,
      callsPerSecond: this.#ratePerMs * 1_000,
      parts: this.borrowed.length,
      borrowedFraction: this.borrowed.reduce((sum, part) => sum + part.capacity, 0),
      tokens: this.countTokens(),
    };
  }
}
