import type { Workspace } from '@tanagerpond/bundle';
import type { DemandSnapshot } from './ShareSnapshot.js';
import { MAX_TOKEN_WAIT_MS, ROUNDING_TOLERANCE } from './shareLimits.js';

/** Tokens that a holder lent to this node, with the capacity that covers them. They do not refill. */
export interface BorrowedTokens {
  readonly holder: string;
  readonly leaseId: string;
  /** Fraction of the burst. */
  readonly capacity: number;
  level: number;
  /** End by this node's clock, counted from before it asked. */
  readonly expiresMs: number;
}

/** Demand below this rate, in calls a millisecond, is forgotten. */
const MIN_RATE = 1e-5;

const RATE_TIME_CONSTANT_MS = 500;

/** Shorter intervals would make the estimate noisy. */
const MIN_RATE_INTERVAL_MS = 20;

/** A spender keeps tokens for this much of its demand, so that most requests need no round trip. */
const PREFETCH_MS = 300;

/** Demand above the rate must not make one spender collect the whole burst. */
const MAX_PREFETCH_OF_BURST = 0.25;

/** Requests of one workspace at one node: those that wait, how many come, and the tokens kept for them. */
export class WorkspaceDemand {
  workspace: Workspace;

  borrowed: BorrowedTokens[] = [];

  /** Deadline by request id, in order of arrival. */
  readonly waiting = new Map<string, number>();

  #arrivals = 0;

  #ratePerMs = 0;

  #countedMs: number;

  /**
   * @param workspace - The workspace.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  constructor(workspace: Workspace, nowMs: number) {
    this.workspace = workspace;
    this.#countedMs = nowMs;
  }

  /** Counts a request that arrived. */
  recordArrival(): void {
    this.#arrivals += 1;
  }

  /**
   * Lets a request wait for a token.
   * @param requestId - Id of the request.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  wait(requestId: string, nowMs: number): void {
    this.waiting.set(requestId, nowMs + MAX_TOKEN_WAIT_MS);
  }

  /**
   * Updates the estimate of the demand.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    const elapsedMs = nowMs - this.#countedMs;
    if (elapsedMs < MIN_RATE_INTERVAL_MS) {
      return;
    }
    const weight = 1 - Math.exp(-elapsedMs / RATE_TIME_CONSTANT_MS);
    this.#ratePerMs += weight * (this.#arrivals / elapsedMs - this.#ratePerMs);
    this.#arrivals = 0;
    this.#countedMs = nowMs;
  }

  /** Tells whether nothing is left to do for the workspace. */
  isIdle(): boolean {
    return this.waiting.size === 0 && this.borrowed.length === 0 && this.#ratePerMs < MIN_RATE;
  }

  /** Computes how many tokens to keep beyond those for waiting requests; 0 while the demand is small. */
  computePrefetch(): number {
    const most = this.workspace.burst * MAX_PREFETCH_OF_BURST;
    return Math.floor(Math.min(this.#ratePerMs * PREFETCH_MS, most));
  }

  /**
   * Drops parts whose lease is over.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  removeExpiredTokens(nowMs: number): void {
    if (this.borrowed.some((part) => part.expiresMs <= nowMs)) {
      this.borrowed = this.borrowed.filter((part) => part.expiresMs > nowMs);
    }
  }

  /** Counts the tokens of all parts. */
  countTokens(): number {
    return this.borrowed.reduce((sum, part) => sum + part.level, 0);
  }

  /**
   * Consumes tokens, those that end first before the others.
   * @param tokens - Tokens wanted.
   * @returns The number of tokens that were missing.
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
   * Takes the settings of a new bundle and caps the levels.
   * @param workspace - The workspace in the bundle.
   */
  configure(workspace: Workspace): void {
    this.workspace = workspace;
    this.borrowed.forEach((part) =>
      Object.assign(part, { level: Math.min(part.level, part.capacity * workspace.burst) }),
    );
  }

  /** Shows the demand for the state dump. */
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
