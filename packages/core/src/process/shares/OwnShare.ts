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

/** The share that this node owns. It is either in the node's own pool or leased as a whole to a holder. */
export class OwnShare {
  readonly #self: string;

  readonly #pool: TokenPool;

  #fraction = 0;

  #leaseMs = 0;

  #readyMs = Number.POSITIVE_INFINITY;

  #lease: OwnLease | undefined;

  #unleasedSinceMs = 0;

  /**
   * @param self - Name of the VM.
   * @param pool - Pool of the node.
   */
  constructor(self: string, pool: TokenPool) {
    this.#self = self;
    this.#pool = pool;
  }

  /**
   * Applies the settings of a bundle. The size of a leased share changes when its lease is renewed.
   * @param fraction - Size of the share: 1/M, where M is the number of shares in the fleet.
   * @param leaseMs - Lease time, in milliseconds.
   * @param startedMs - Time at which the node started or was reset.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param notBeforeMs - Earliest end of the startup wait, in milliseconds.
   */
  configure(
    fraction: number,
    leaseMs: number,
    startedMs: number,
    nowMs: number,
    notBeforeMs = Number.NEGATIVE_INFINITY,
  ): void {
    this.#fraction = fraction;
    this.#leaseMs = leaseMs;
    if (!this.isReady(nowMs)) {
      this.reset(startedMs);
      this.#readyMs = Math.max(this.#readyMs, notBeforeMs);
    } else if (this.#pool.has(this.#self)) {
      this.#pool.add(this.#self, { fraction, expiresMs: Number.POSITIVE_INFINITY }, nowMs);
    }
  }

  /**
   * Starts the startup wait: the share stays unused until every lease and sublease that an earlier process on this VM
   * may have granted has expired.
   * @param startedMs - Monotonic time at which the node started or was reset, in milliseconds.
   */
  reset(startedMs: number): void {
    this.#lease = undefined;
    this.#readyMs = startedMs + computeLenderLeaseMs(this.#leaseMs);
  }

  /**
   * Removes an expired lease, and adds the share to the pool, without tokens, if it is not leased and the startup wait
   * is over.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  update(nowMs: number): void {
    if (this.#lease !== undefined && this.#lease.expiresMs <= nowMs) {
      this.#lease = undefined;
    }
    if (this.#lease === undefined && this.isReady(nowMs) && !this.#pool.has(this.#self)) {
      this.#pool.add(this.#self, this.#createShare(), nowMs);
      this.#unleasedSinceMs = nowMs;
    }
  }

  /**
   * Measures how long no holder has leased or requested the share, in milliseconds; 0 while the share is not in the
   * pool.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  measureUnleasedMs(nowMs: number): number {
    return this.#pool.has(this.#self) ? nowMs - this.#unleasedSinceMs : 0;
  }

  /**
   * Records that a holder requested the share but could not get it.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordRequest(nowMs: number): void {
    this.#unleasedSinceMs = nowMs;
  }

  /**
   * Returns whether the startup wait is over.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isReady(nowMs: number): boolean {
    return nowMs >= this.#readyMs;
  }

  /**
   * Measures the rest of the startup wait, in milliseconds; 0 when it is over.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  measureStartupWaitMs(nowMs: number): number {
    return Math.max(0, this.#readyMs - nowMs);
  }

  /**
   * Answers a holder that requests the whole share or the renewal of its lease.
   * @param holder - VM that sent the request.
   * @param request - Request for a new lease, or for the renewal of the lease that it names.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns A grant, whose lease time is 0 if the request is refused, or undefined for a duplicate request.
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
   * Ends the lease of a holder that returns the share, and adds the share and the remaining tokens to the pool. A
   * return for any other lease is ignored.
   * @param holder - VM that returns the share.
   * @param returned - The lease and the remaining tokens.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receiveReturn(holder: string, returned: wire.ShareReturn, nowMs: number): void {
    if (this.#lease?.holder !== holder || this.#lease.id !== returned.leaseId || !returned.ends) {
      return;
    }
    this.#lease = undefined;
    const levels = new Map(returned.parts.map(({ workspace, level }) => [workspace, level]));
    this.#pool.add(this.#self, this.#createShare(), nowMs, levels);
    this.#unleasedSinceMs = nowMs;
  }

  /** Returns the state of the share for the state dump. */
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

  /** Takes the share from the pool, or replaces a lease that its holder no longer uses. */
  #takeLevels(
    holder: string,
    requestId: string,
    nowMs: number,
  ): ReadonlyMap<string, number> | undefined {
    if (this.#lease === undefined) {
      return this.#pool.remove(this.#self, nowMs);
    }
    // A holder requests a new lease only if it has none, and accepts only the grant of its latest request. So a later
    // request of the same incarnation proves that the holder does not use the previous lease.
    const isAbandoned = this.#lease.holder === holder && isMintedAfter(requestId, this.#lease.id);
    return isAbandoned ? new Map() : undefined;
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
