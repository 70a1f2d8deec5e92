import type { Workspace } from '@tanagerpond/bundle';
import { ROUNDING_TOLERANCE } from './shareLimits.js';
import type { PoolSnapshot } from './ShareSnapshot.js';
import { TokenBucket } from './TokenBucket.js';

/** A whole share of every rate and burst. */
interface PooledShare {
  fraction: number;
  /** End by this node's clock; infinite for the node's own share. */
  expiresMs: number;
}

/** Capacity that leaves a pool, with the tokens that it covers. */
export interface SubleasedTokens {
  /** Fraction of the burst. */
  readonly capacity: number;
  /** Tokens. */
  readonly level: number;
}

/** Workspaces shown in a snapshot. */
const SNAPSHOT_WORKSPACES = 64;

/**
 * Token buckets over the whole shares that a node has at present: its own share unless it is lent, and shares borrowed
 * from other owners. Subleased capacity is set aside; the whole refill stays in the pool.
 */
export class TokenPool {
  readonly #shares = new Map<string, PooledShare>();

  readonly #buckets = new Map<string, TokenBucket>();

  #total = 0;

  #changedMs: number | undefined;

  #nextExpiryMs = Number.POSITIVE_INFINITY;

  /**
   * Takes the workspaces of a bundle. Fractions stay valid, levels are capped by the new bursts.
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
   * Ends shares whose lease is over. Tokens are counted up to the end of each lease, not up to the time of the call.
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
   * Tells whether a share is in the pool.
   * @param owner - VM that owns the share.
   */
  has(owner: string): boolean {
    return this.#shares.has(owner);
  }

  /**
   * Adds a share, or changes the fraction of one that is in the pool and moves its end, never to an earlier time.
   * @param owner - VM that owns the share.
   * @param share - Its fraction of every rate and burst, and its end on this node's clock.
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
    const knownMs = this.#shares.get(owner)?.expiresMs ?? Number.NEGATIVE_INFINITY;
    const expiresMs = Math.max(knownMs, share.expiresMs);
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
   * Takes a share out of the pool together with the tokens that it covers.
   * @param owner - VM that owns the share.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The tokens by workspace, or undefined when subleases need the share.
   */
  remove(owner: string, nowMs: number): ReadonlyMap<string, number> | undefined {
    const share = this.#shares.get(owner);
    if (share === undefined || !this.#isSpare(share)) {
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

  /** Forgets every share and every token; subleased capacity is forgotten too. */
  clear(): void {
    this.#shares.clear();
    this.#changedMs = undefined;
    this.#updateTotal();
    this.#nextExpiryMs = Number.POSITIVE_INFINITY;
    this.#buckets.forEach((bucket) => bucket.clear());
  }

  /**
   * Reads the tokens of a workspace.
   * @param workspace - Name of the workspace.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  readLevel(workspace: string, nowMs: number): number {
    const bucket = this.#buckets.get(workspace);
    if (bucket === undefined || this.#total === 0) {
      return 0;
    }
    this.#advance(bucket, nowMs);
    return bucket.level;
  }

  /**
   * Consumes tokens.
   * @param workspace - Name of the workspace.
   * @param tokens - Tokens, at most the level that was read at the same time.
   */
  consume(workspace: string, tokens: number): void {
    this.#buckets.get(workspace)?.consume(tokens);
  }

  /**
   * Lends tokens with the capacity that covers them, out of shares that outlast every sublease of the workspace.
   * @param workspace - Name of the workspace.
   * @param wanted - Tokens wanted.
   * @param untilMs - End of the sublease as the lender counts it.
   * @param nowMs - Monotonic time, in milliseconds.
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
    const lastsMs = Math.max(untilMs, bucket.subleasedUntilMs);
    const free = Math.min(this.#countLasting(lastsMs), this.#total) - bucket.subleased;
    const level = Math.min(wanted, bucket.level, free * bucket.burst);
    if (level <= ROUNDING_TOLERANCE) {
      return undefined;
    }
    return { capacity: bucket.grantSublease(level, lastsMs), level };
  }

  /**
   * Takes subleased capacity back.
   * @param workspace - Name of the workspace.
   * @param capacity - Fraction of the burst that was lent.
   * @param level - Tokens that come back with it.
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

  /** Part of every rate and burst that the pool has. */
  get fraction(): number {
    return this.#total;
  }

  /**
   * Measures the time since a share was last taken in, renewed, or given away, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Undefined while the pool has had no share.
   */
  measureShareAge(nowMs: number): number | undefined {
    return this.#changedMs === undefined ? undefined : nowMs - this.#changedMs;
  }

  /** Shows the shares and levels, at most 64 workspaces. */
  snapshot(nowMs: number): PoolSnapshot {
    this.#advanceAll(nowMs);
    const buckets = [...this.#buckets].slice(0, SNAPSHOT_WORKSPACES);
    return {
      fraction: this.#total,
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
    // Capacity that is still subleased has to be known when the workspace comes back.
    if (bucket.subleased > 0) {
      bucket.configure(0, 0);
      bucket.consume(bucket.level);
      return;
    }
    this.#buckets.delete(name);
  }

  #isSpare(share: PooledShare): boolean {
    return [...this.#buckets.values()]
      .filter((bucket) => bucket.subleased > 0)
      .every((bucket) => {
        const lasting = share.expiresMs > bucket.subleasedUntilMs ? share.fraction : 0;
        const left = this.#countLasting(bucket.subleasedUntilMs) - lasting;
        return left + ROUNDING_TOLERANCE >= bucket.subleased;
      });
  }

  #countLasting(afterMs: number): number {
    let fraction = 0;
    this.#shares.forEach((share) => {
      fraction += share.expiresMs > afterMs ? share.fraction : 0;
    });
    return fraction;
  }

  #updateTotal(): void {
    this.#total = this.#countLasting(Number.NEGATIVE_INFINITY);
  }

  #advanceAll(nowMs: number): void {
    this.#buckets.forEach((bucket) => this.#advance(bucket, nowMs));
  }

  #advance(bucket: TokenBucket, nowMs: number): void {
    bucket.advance(this.#total, nowMs);
  }
}
