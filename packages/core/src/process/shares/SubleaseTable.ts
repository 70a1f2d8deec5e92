import * as protobuf from '@bufbuild/protobuf';
import * as wire from '@tanagerpond/wire';
import { computeLenderLeaseMs, ROUNDING_TOLERANCE } from './shareLimits.js';
import type { TokenPool } from './TokenPool.js';

interface Sublease {
  readonly expiresMs: number;
  /** Fraction of the burst by workspace. */
  readonly parts: Map<string, number>;
}

/** Tokens that this node lends to spenders out of its pool. A sublease is never renewed or enlarged. */
export class SubleaseTable {
  readonly #pool: TokenPool;

  readonly #subleases = new Map<string, Sublease>();

  /** @param pool - Pool that the subleases come from. */
  constructor(pool: TokenPool) {
    this.#pool = pool;
  }

  /**
   * Takes back the capacity of subleases that are over, without their tokens.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  removeExpired(nowMs: number): void {
    // The oldest comes first. After a change of the lease time a shorter sublease may be taken back late, never early.
    // eslint-disable-next-line no-restricted-syntax -- the loop ends at the first sublease that still runs
    for (const [key, sublease] of this.#subleases) {
      if (sublease.expiresMs > nowMs) {
        return;
      }
      sublease.parts.forEach((capacity, name) =>
        this.#pool.releaseSublease(name, capacity, 0, nowMs),
      );
      this.#subleases.delete(key);
    }
  }

  /**
   * Grants as many of the wanted tokens as the pool can lend.
   * @param spender - VM that asks.
   * @param request - Its request.
   * @param leaseMs - Lease time, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The grant, possibly an empty one, or undefined for a repeated request.
   */
  grant(
    spender: string,
    request: wire.ShareRequest,
    leaseMs: number,
    nowMs: number,
  ): wire.ShareGrant | undefined {
    const key = formatKey(spender, request.requestId);
    if (this.#subleases.has(key)) {
      return undefined;
    }
    const expiresMs = nowMs + computeLenderLeaseMs(leaseMs);
    const byWorkspace = new Map<string, number>();
    const parts = request.wanted
      .filter(({ workspace }) => !byWorkspace.has(workspace))
      .map(({ workspace, level: wanted }) => {
        const lent = this.#pool.grantSublease(workspace, wanted, expiresMs, nowMs);
        if (lent === undefined) {
          return { workspace };
        }
        byWorkspace.set(workspace, lent.capacity);
        // Tokens that cannot be lent at present must not attract another request.
        const isWhole = lent.level + ROUNDING_TOLERANCE >= wanted;
        const left = isWhole ? this.#pool.readLevel(workspace, nowMs) : 0;
        return { workspace, ...lent, left };
      });
    if (byWorkspace.size > 0) {
      this.#subleases.set(key, { expiresMs, parts: byWorkspace });
    }
    return protobuf.create(wire.ShareGrantSchema, {
      requestId: request.requestId,
      leaseMs,
      parts,
    });
  }

  /**
   * Takes back parts of a sublease with their tokens. A part that is not lent any more is ignored.
   * @param spender - VM that gives back.
   * @param returned - Parts and levels.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receiveReturn(spender: string, returned: wire.ShareReturn, nowMs: number): void {
    const key = formatKey(spender, returned.leaseId);
    const sublease = this.#subleases.get(key);
    if (sublease === undefined) {
      return;
    }
    returned.parts.forEach(({ workspace, level }) => {
      const capacity = sublease.parts.get(workspace);
      if (capacity !== undefined) {
        sublease.parts.delete(workspace);
        this.#pool.releaseSublease(workspace, capacity, level, nowMs);
      }
    });
    if (sublease.parts.size === 0) {
      this.#subleases.delete(key);
    }
  }

  /** Forgets every sublease. */
  clear(): void {
    this.#subleases.clear();
  }

  /** Counts the subleases that run. */
  count(): number {
    return this.#subleases.size;
  }
}

function formatKey(spender: string, leaseId: string): string {
  return `${spender}/${leaseId}`;
}
