import * as protobuf from '@bufbuild/protobuf';
import * as wire from '@tanagerpond/wire';
import { computeLenderLeaseMs, ROUNDING_TOLERANCE } from './shareLimits.js';
import type { TokenPool } from './TokenPool.js';

interface Sublease {
  readonly expiresMs: number;
  /** Fraction of the burst by workspace. */
  readonly parts: Map<string, number>;
}

/** Subleases of tokens that this node lends to borrowers from its pool. A sublease is never renewed or enlarged. */
export class SubleaseTable {
  readonly #pool: TokenPool;

  readonly #subleases = new Map<string, Sublease>();

  /** @param pool - Pool that the tokens come from. */
  constructor(pool: TokenPool) {
    this.#pool = pool;
  }

  /**
   * Removes expired subleases and returns their capacity, without tokens, to the pool.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  removeExpired(nowMs: number): void {
    // The map is in order of creation. After a change of the lease time, a shorter sublease that follows a longer one
    // may be removed late, but never early.
    // eslint-disable-next-line no-restricted-syntax -- the loop ends at the first sublease that has not expired
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
   * @param borrower - VM that sent the request.
   * @param request - Request with the wanted tokens by workspace.
   * @param leaseMs - Lease time of the sublease, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The grant, possibly without tokens, or undefined for a duplicate request.
   */
  grant(
    borrower: string,
    request: wire.ShareRequest,
    leaseMs: number,
    nowMs: number,
  ): wire.ShareGrant | undefined {
    const key = formatKey(borrower, request.requestId);
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
        // Reports 0 tokens left if the grant is partial: tokens that cannot be lent now must not attract another
        // request.
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
   * Returns parts of a sublease with the remaining tokens to the pool. A part whose sublease has already ended is
   * ignored.
   * @param borrower - VM that returns the parts.
   * @param returned - The sublease and the remaining tokens by workspace.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receiveReturn(borrower: string, returned: wire.ShareReturn, nowMs: number): void {
    const key = formatKey(borrower, returned.leaseId);
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

  /** Removes all subleases. */
  clear(): void {
    this.#subleases.clear();
  }

  /** Counts the subleases that have not ended. */
  count(): number {
    return this.#subleases.size;
  }
}

function formatKey(borrower: string, leaseId: string): string {
  return `${borrower}/${leaseId}`;
}
