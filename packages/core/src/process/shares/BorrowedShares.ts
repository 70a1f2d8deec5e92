import * as protobuf from '@bufbuild/protobuf';
import * as wire from '@tanagerpond/wire';
import type { LeaseIds } from './LeaseIds.js';
import type { ShareCommand } from './ShareCommand.js';
import type { TokenPool } from './TokenPool.js';

/** A lease is renewed after a third of its time, so that two lost renewals leave no gap. */
const RENEWALS_PER_LEASE = 3;

/** The first retry delay is the lease time divided by this number, but at least `MIN_RETRY_MS`. */
const RETRIES_PER_LEASE = 8;

const MIN_RETRY_MS = 100;

/** Spreads the requests of a new holder in a large failure domain over several ticks. */
const MAX_REQUESTS_PER_TICK = 32;

interface PendingRequest {
  readonly id: string;
  readonly sentMs: number;
}

/** State of the lease of one owner's share. */
interface OwnerLease {
  /** Empty while this node has no lease of the owner's share. */
  leaseId: string;
  /** Latest request; only its grant is accepted. */
  request: PendingRequest | undefined;
  /** Time of the next request. */
  nextMs: number;
  /** Number of consecutive requests without an answer. */
  unanswered: number;
}

/** Whole shares that this node leases from the other VMs while it is the holder of its failure domain. */
export class BorrowedShares {
  readonly #pool: TokenPool;

  readonly #ids: LeaseIds;

  readonly #leases = new Map<string, OwnerLease>();

  #leaseMs = 0;

  /**
   * @param pool - Token pool of the node, which the borrowed shares are added to.
   * @param ids - Generator of request and lease ids.
   */
  constructor(pool: TokenPool, ids: LeaseIds) {
    this.#pool = pool;
    this.#ids = ids;
  }

  /**
   * Applies the lease time of a bundle, which sets the intervals of renewals and retries.
   * @param leaseMs - Lease time, in milliseconds.
   */
  configure(leaseMs: number): void {
    this.#leaseMs = leaseMs;
  }

  /**
   * Requests the shares of owners and renews leases. Call on every tick while this node is the holder.
   * @param owners - VMs of the failure domain except this one.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  request(owners: readonly string[], nowMs: number): readonly ShareCommand[] {
    this.#resetExpired();
    owners
      .filter((owner) => !this.#leases.has(owner))
      .forEach((owner) =>
        this.#leases.set(owner, { leaseId: '', request: undefined, nextMs: nowMs, unanswered: 0 }),
      );
    const known = new Set(owners);
    [...this.#leases]
      .filter(([owner, lease]) => !known.has(owner) && lease.leaseId === '')
      .forEach(([owner]) => this.#leases.delete(owner));
    return [...this.#leases]
      .filter(([owner, lease]) => lease.nextMs <= nowMs && known.has(owner))
      .slice(0, MAX_REQUESTS_PER_TICK)
      .map(([owner, lease]) => this.#createRequest(owner, lease, nowMs));
  }

  /**
   * Returns every share that no running sublease needs to its owner.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  release(nowMs: number): readonly ShareCommand[] {
    this.#resetExpired();
    return [...this.#leases].flatMap(([owner, lease]) => this.#returnShare(owner, lease, nowMs));
  }

  /**
   * Handles the answer of an owner: a grant, or a refusal with lease time 0. Answers to any but the latest request are
   * ignored.
   * @param owner - VM that answered.
   * @param grant - Answer of the owner.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receiveGrant(owner: string, grant: wire.ShareGrant, nowMs: number): void {
    const lease = this.#leases.get(owner);
    if (lease?.request === undefined || lease.request.id !== grant.requestId) {
      return;
    }
    const { sentMs } = lease.request;
    lease.request = undefined;
    lease.unanswered = 0;
    const expiresMs = sentMs + grant.leaseMs;
    const renews = lease.leaseId !== '';
    const isLost = renews && (lease.leaseId !== grant.leaseId || !this.#pool.has(owner));
    if (grant.leaseMs === 0 || isLost || expiresMs <= nowMs) {
      lease.nextMs = nowMs + this.#computeRetryMs();
      return;
    }
    lease.leaseId = grant.leaseId;
    lease.nextMs = sentMs + this.#leaseMs / RENEWALS_PER_LEASE;
    const levels = new Map(grant.parts.map(({ workspace, level }) => [workspace, level]));
    this.#pool.add(owner, { fraction: grant.wholeShare, expiresMs }, nowMs, levels);
  }

  /** Removes all leases and pending requests; the pool is not changed. */
  clear(): void {
    this.#leases.clear();
  }

  /** Counts the borrowed shares. */
  count(): number {
    return [...this.#leases.keys()].filter((owner) => this.#pool.has(owner)).length;
  }

  #resetExpired(): void {
    this.#leases.forEach((lease, owner) => {
      if (lease.leaseId !== '' && !this.#pool.has(owner)) {
        Object.assign(lease, { leaseId: '', request: undefined });
      }
    });
  }

  #createRequest(owner: string, lease: OwnerLease, nowMs: number): ShareCommand {
    const request = protobuf.create(wire.ShareRequestSchema, {
      requestId: this.#ids.mint(),
      wholeShare: true,
      leaseId: lease.leaseId,
    });
    // An owner that does not answer may be down, so the retry delay doubles up to the lease time.
    const retryMs = Math.min(this.#leaseMs, this.#computeRetryMs() * 2 ** lease.unanswered);
    Object.assign(lease, {
      request: { id: request.requestId, sentMs: nowMs },
      nextMs: nowMs + retryMs,
      unanswered: lease.unanswered + 1,
    });
    const frame = wire.createFrame({ case: 'shareRequest', value: request });
    return { kind: 'sendRequest', peer: owner, frame };
  }

  #returnShare(owner: string, lease: OwnerLease, nowMs: number): readonly ShareCommand[] {
    const levels = lease.leaseId === '' ? undefined : this.#pool.remove(owner, nowMs);
    if (lease.leaseId === '') {
      this.#leases.delete(owner);
    }
    if (levels === undefined) {
      return [];
    }
    this.#leases.delete(owner);
    const value = protobuf.create(wire.ShareReturnSchema, {
      leaseId: lease.leaseId,
      ends: true,
      parts: [...levels].map(([workspace, level]) => ({ workspace, level })),
    });
    const frame = wire.createFrame({ case: 'shareReturn', value });
    return [{ kind: 'sendRequest', peer: owner, frame }];
  }

  #computeRetryMs(): number {
    return Math.max(MIN_RETRY_MS, this.#leaseMs / RETRIES_PER_LEASE);
  }
}
