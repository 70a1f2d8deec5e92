import * as protobuf from '@bufbuild/protobuf';
import * as wire from '@tanagerpond/wire';
import { isMintedAfter } from './LeaseIds.js';
import { computeLenderLeaseMs } from './shareLimits.js';
import type { OwnSnapshot } from './ShareSnapshot.js';
import type { TokenPool } from './TokenPool.js';

interface OwnLease {
  readonly id: string;
  readonly holder: string;
  expiresMs: number;
}

/** The share that this node owns: in its own pool, or lent as a whole to a holder. */
export class OwnShare {
  readonly #self: string;

  readonly #pool: TokenPool;

  #fraction = 0;

  #leaseMs = 0;

  #readyMs = Number.POSITIVE_INFINITY;

  #lease: OwnLease | undefined;

  #freeSinceMs = 0;

  /**
   * @param self - Name of the VM.
   * @param pool - Pool of the node.
   */
  constructor(self: string, pool: TokenPool) {
    this.#self = self;
    this.#pool = pool;
  }

  /**
   * Takes the settings of a bundle. A share that is lent changes its size when the lease is renewed.
   * @param fraction - Size of the share, 1/M.
   * @param leaseMs - Lease time, in milliseconds.
   * @param startedMs - Time at which the node started or was reset.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  configure(fraction: number, leaseMs: number, startedMs: number, nowMs: number): void {
    this.#fraction = fraction;
    this.#leaseMs = leaseMs;
    if (!this.isReady(nowMs)) {
      this.reset(startedMs);
    } else if (this.#pool.has(this.#self)) {
      this.#pool.add(this.#self, { fraction, expiresMs: Number.POSITIVE_INFINITY }, nowMs);
    }
  }

  /**
   * Waits until every lease and sublease that an earlier run of this VM can have granted is over.
   * @param startedMs - Start of the present run.
   */
  reset(startedMs: number): void {
    this.#lease = undefined;
    this.#readyMs = startedMs + computeLenderLeaseMs(this.#leaseMs);
  }

  /**
   * Puts the share into the pool, without tokens, when it is free.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  update(nowMs: number): void {
    if (this.#lease !== undefined && this.#lease.expiresMs <= nowMs) {
      this.#lease = undefined;
    }
    if (this.#lease === undefined && this.isReady(nowMs) && !this.#pool.has(this.#self)) {
      this.#pool.add(this.#self, this.#createShare(), nowMs);
      this.#freeSinceMs = nowMs;
    }
  }

  /**
   * Measures for how long no holder has had the share or asked for it.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  measureUnleasedMs(nowMs: number): number {
    return this.#pool.has(this.#self) ? nowMs - this.#freeSinceMs : 0;
  }

  /**
   * Records that a holder asked for the share, although it could not be lent.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordRequest(nowMs: number): void {
    this.#freeSinceMs = nowMs;
  }

  /**
   * Tells whether the wait after the start is over.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isReady(nowMs: number): boolean {
    return nowMs >= this.#readyMs;
  }

  /**
   * Measures the rest of the wait after the start; 0 when it is over.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  measureStartupWaitMs(nowMs: number): number {
    return Math.max(0, this.#readyMs - nowMs);
  }

  /**
   * Answers a holder that asks for the whole share.
   * @param holder - VM that asks.
   * @param request - Its request.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns A grant, one with lease time 0 as a refusal, or undefined for a repeated request.
   */
  answer(holder: string, request: wire.ShareRequest, nowMs: number): wire.ShareGrant | undefined {
    if (this.#lease?.holder === holder && this.#lease.id === request.requestId) {
      return undefined;
    }
    if (request.leaseId !== '') {
      return this.#renew(holder, request, nowMs);
    }
    const levels = this.#takeLevels(holder, request.requestId, nowMs);
    if (levels === undefined) {
      return refuse(request);
    }
    const expiresMs = nowMs + computeLenderLeaseMs(this.#leaseMs);
    this.#lease = { id: request.requestId, holder, expiresMs };
    return this.#createGrant(request, levels);
  }

  /**
   * Takes the share back from its holder with the tokens left.
   * @param holder - VM that gives back.
   * @param returned - The lease and the tokens.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receiveReturn(holder: string, returned: wire.ShareReturn, nowMs: number): void {
    if (this.#lease?.holder !== holder || this.#lease.id !== returned.leaseId || !returned.ends) {
      return;
    }
    this.#lease = undefined;
    const levels = new Map(returned.parts.map(({ workspace, level }) => [workspace, level]));
    this.#pool.add(this.#self, this.#createShare(), nowMs, levels);
    this.#freeSinceMs = nowMs;
  }

  /** Shows where the share is. */
  snapshot(nowMs: number): OwnSnapshot {
    return {
      fraction: this.#fraction,
      ready: this.isReady(nowMs),
      lentTo: this.#lease?.holder ?? null,
      lentForMs: this.#lease === undefined ? 0 : this.#lease.expiresMs - nowMs,
    };
  }

  #renew(holder: string, request: wire.ShareRequest, nowMs: number): wire.ShareGrant {
    if (this.#lease?.holder !== holder || this.#lease.id !== request.leaseId) {
      return refuse(request);
    }
    const expiresMs = nowMs + computeLenderLeaseMs(this.#leaseMs);
    this.#lease.expiresMs = Math.max(this.#lease.expiresMs, expiresMs);
    return this.#createGrant(request, new Map());
  }

  /** Takes the share from the pool, or from a lease that its holder has given up. */
  #takeLevels(
    holder: string,
    requestId: string,
    nowMs: number,
  ): ReadonlyMap<string, number> | undefined {
    if (this.#lease === undefined) {
      return this.#pool.remove(this.#self, nowMs);
    }
    // A holder asks for a new lease only when it has none, and takes only the grant of its latest request. So a later
    // request of the same incarnation shows that the lease before it is not used.
    const givenUp = this.#lease.holder === holder && isMintedAfter(requestId, this.#lease.id);
    return givenUp ? new Map() : undefined;
  }

  #createGrant(request: wire.ShareRequest, levels: ReadonlyMap<string, number>): wire.ShareGrant {
    return protobuf.create(wire.ShareGrantSchema, {
      requestId: request.requestId,
      leaseId: this.#lease?.id ?? '',
      leaseMs: this.#leaseMs,
      wholeShare: this.#fraction,
      parts: [...levels].map(([workspace, level]) => ({ workspace, level })),
    });
  }

  #createShare(): { fraction: number; expiresMs: number } {
    return { fraction: this.#fraction, expiresMs: Number.POSITIVE_INFINITY };
  }
}

function refuse(request: wire.ShareRequest): wire.ShareGrant {
  return protobuf.create(wire.ShareGrantSchema, { requestId: request.requestId });
}
