import type { Workspace } from '@tanagerpond/bundle';
import { ROUNDING_TOLERANCE } from './shareLimits.js';
import type { PoolSnapshot } from './ShareSnapshot.js';
import { TokenBucket } from './TokenBucket.js';

/** Share of every rate and burst that is in the pool. */
interface PooledShare {
  fraction: number;
  /** End of the lease on this node's clock; infinite for the node's own share. */
  expiresMs: number;
}

/** Capacity set aside for a sublease, and the tokens lent with it. */
export interface SubleasedTokens {
  /** Fraction of the burst. */
  readonly capacity: number;
  /** Tokens. */
  readonly level: number;
}

/** Maximum number of workspaces in a snapshot. */
const SNAPSHOT_WORKSPACES = 64;

/**
 * Token buckets, one for each workspace, that are filled in proportion to the shares that the node has: its own share
 * unless it is lent out, and the shares that it borrowed from other VMs. Subleased capacity is unavailable to the pool
 * until the sublease ends; the refill always goes to the pool.
 */
export class TokenPool {
  readonly #shares = new Map<string, PooledShare>();

  readonly #buckets = new Map<string, TokenBucket>();

  #fraction = 0;

  #changedMs: number | undefined;

  #nextExpiryMs = Number.POSITIVE_INFINITY;

  /**
   * Applies the workspaces of a bundle. Shares are fractions and stay valid; token counts are capped by the new bursts.
   * @param workspaces - Workspaces by name.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  configure(workspaces: ReadonlyMap<string, Workspace>, nowMs: number): void {
    this.removeExpired(nowMs);
    this.#advanceAll(nowMs);
    this.#buckets.forEach((bucket, name) => this.#clearRemoved(name, bucket, workspaces));
    workspaces.forEach(({ name, rate, burst }) => {
      const bucket = this.#buckets.get(name) ?? new TokenBucket(nowMs);
      bucket.configure(rate, burst);
      this.#buckets.set(name, bucket);
      this.#advance(bucket, nowMs);
    });
  }

  /**
   * Removes shares whose lease has expired. Each share adds tokens only until its lease ends, even if this call comes
   * later.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  removeExpired(nowMs: number): void {
    if (nowMs < this.#nextExpiryMs) {
      return;
    }
    const expired = [...this.#shares].filter(([, share]) => share.expiresMs <= nowMs);
    expired.sort(([, left], [, right]) => left.expiresMs - right.expiresMs);
    expired.forEach(([owner, share]) => {
      this.#advanceAll(share.expiresMs);
      this.#shares.delete(owner);
      this.#updateTotal();
      this.#changedMs = share.expiresMs;
    });
    this.#nextExpiryMs = Math.min(...[...this.#shares.values()].map((share) => share.expiresMs));
  }

  /**
   * Returns whether a share is in the pool.
   * @param owner - VM that owns the share.
   */
  has(owner: string): boolean {
    return this.#shares.has(owner);
  }

  /**
   * Adds a share, or updates the fraction of one that is already in the pool and extends its lease. The end of a lease
   * never moves to an earlier time.
   * @param owner - VM that owns the share.
   * @param share - Fraction of every rate and burst, and the end of the lease on this node's clock.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param levels - Tokens that come with the share, by workspace.
   */
  add(
    owner: string,
    share: Readonly<PooledShare>,
    nowMs: number,
    levels: ReadonlyMap<string, number> = new Map(),
  ): void {
    this.#advanceAll(nowMs);
    const currentExpiryMs = this.#shares.get(owner)?.expiresMs ?? Number.NEGATIVE_INFINITY;
    const expiresMs = Math.max(currentExpiryMs, share.expiresMs);
    this.#shares.set(owner, { fraction: share.fraction, expiresMs });
    this.#updateTotal();
    this.#changedMs = nowMs;
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, expiresMs);
    levels.forEach((level, name) => {
      this.#buckets.get(name)?.add(level, share.fraction);
    });
    this.#advanceAll(nowMs);
  }

  /**
   * Removes a share from the pool together with the tokens that fit its capacity.
   * @param owner - VM that owns the share.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The removed tokens by workspace, or undefined if the share is not in the pool or covers running subleases.
   */
  remove(owner: string, nowMs: number): ReadonlyMap<string, number> | undefined {
    const share = this.#shares.get(owner);
    if (share === undefined || !this.#isRemovable(share)) {
      return undefined;
    }
    this.#advanceAll(nowMs);
    const levels = new Map<string, number>();
    this.#buckets.forEach((bucket, name) => {
      const level = bucket.take(share.fraction);
      if (level > ROUNDING_TOLERANCE) {
        levels.set(name, level);
      }
    });
    this.#shares.delete(owner);
    this.#updateTotal();
    this.#changedMs = nowMs;
    return levels;
  }

  /** Removes all shares, tokens and records of subleased capacity. */
  clear(): void {
    this.#shares.clear();
    this.#changedMs = undefined;
    this.#updateTotal();
    this.#nextExpiryMs = Number.POSITIVE_INFINITY;
    this.#buckets.forEach((bucket) => bucket.clear());
  }

  /**
   * Reads the number of tokens of a workspace; 0 for an unknown one.
   * @param workspace - Name of the workspace.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  readLevel(workspace: string, nowMs: number): number {
    const bucket = this.#buckets.get(workspace);
    if (bucket === undefined || this.#fraction === 0) {
      return 0;
    }
    this.#advance(bucket, nowMs);
    return bucket.level;
  }

  /**
   * Consumes tokens of a workspace.
   * @param workspace - Name of the workspace.
   * @param tokens - Number of tokens; at most what `readLevel` returned at the same time.
   */
  consume(workspace: string, tokens: number): void {
    this.#buckets.get(workspace)?.consume(tokens);
  }

  /**
   * Lends tokens and sets aside the capacity that covers them. Only shares whose lease outlasts this sublease and all
   * earlier ones of the workspace provide the capacity.
   * @param workspace - Name of the workspace.
   * @param wanted - Number of tokens wanted.
   * @param untilMs - End of the sublease for the lender, which is later than for the borrower.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The lent tokens, possibly fewer than wanted, or undefined if none can be lent.
   */
  grantSublease(
    workspace: string,
    wanted: number,
    untilMs: number,
    nowMs: number,
  ): SubleasedTokens | undefined {
    const bucket = this.#buckets.get(workspace);
    if (bucket === undefined || bucket.burst === 0) {
      return undefined;
    }
    this.#advance(bucket, nowMs);
    const coverUntilMs = Math.max(untilMs, bucket.subleasedUntilMs);
    const free =
      Math.min(this.#computeFractionAfter(coverUntilMs), this.#fraction) - bucket.subleased;
    const level = Math.min(wanted, bucket.level, free * bucket.burst);
    if (level <= ROUNDING_TOLERANCE) {
      return undefined;
    }
    return { capacity: bucket.grantSublease(level, coverUntilMs), level };
  }

  /**
   * Ends a sublease: makes its capacity available again and adds the tokens that the borrower returned.
   * @param workspace - Name of the workspace.
   * @param capacity - Fraction of the burst that was set aside.
   * @param level - Number of returned tokens.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  releaseSublease(workspace: string, capacity: number, level: number, nowMs: number): void {
    const bucket = this.#buckets.get(workspace);
    if (bucket === undefined) {
      return;
    }
    this.#advance(bucket, nowMs);
    bucket.releaseSublease(capacity);
    bucket.add(level, capacity);
    this.#advance(bucket, nowMs);
  }

  /** Fraction of every rate and burst that the shares in the pool add up to. */
  get fraction(): number {
    return this.#fraction;
  }

  /**
   * Measures the time since a share was last added, renewed, removed or expired, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Undefined if the pool has not had a share since it was created or cleared.
   */
  measureShareAge(nowMs: number): number | undefined {
    return this.#changedMs === undefined ? undefined : nowMs - this.#changedMs;
  }

  /** Returns the shares and token counts for the state dump, with at most 64 workspaces. */
  snapshot(nowMs: number): PoolSnapshot {
    this.#advanceAll(nowMs);
    const buckets = [...this.#buckets].slice(0, SNAPSHOT_WORKSPACES);
    return {
      fraction: this.#fraction,
      shares: this.#shares.size,
      workspaces: Object.fromEntries(
        buckets.map(([name, { level, subleased }]) => [name, { level, lentFraction: subleased }]),
      ),
    };
  }

  #clearRemoved(name: string, bucket: TokenBucket, kept: ReadonlyMap<string, Workspace>): void {
    if (kept.has(name)) {
      return;
    }
    // The subleased capacity must still be set aside if a later bundle adds the workspace again.
    if (bucket.subleased > 0) {
      bucket.configure(0, 0);
      bucket.consume(bucket.level);
      return;
    }
    this.#buckets.delete(name);
  }

  #isRemovable(share: PooledShare): boolean {
    return [...this.#buckets.values()]
      .filter((bucket) => bucket.subleased > 0)
      .every((bucket) => {
        const lasting = share.expiresMs > bucket.subleasedUntilMs ? share.fraction : 0;
        const left = this.#computeFractionAfter(bucket.subleasedUntilMs) - lasting;
        return left + ROUNDING_TOLERANCE >= bucket.subleased;
      });
  }

  #computeFractionAfter(afterMs: number): number {
    let fraction = 0;
    this.#shares.forEach((share) => {
      fraction += share.expiresMs > afterMs ? share.fraction : 0;
    });
    return fraction;
  }

  #updateTotal(): void {
    this.#fraction = this.#computeFractionAfter(Number.NEGATIVE_INFINITY);
  }

  #advanceAll(nowMs: number): void {
    this.#buckets.forEach((bucket) => this.#advance(bucket, nowMs));
  }

  #advance(bucket: TokenBucket, nowMs: number): void {
    bucket.advance(this.#fraction, nowMs);
  }
}
