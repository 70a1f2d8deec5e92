import * as protobuf from '@bufbuild/protobuf';
import * as wire from '@tanagerpond/wire';
import type { LeaseIds } from './LeaseIds.js';
import type { ShareCommand } from './ShareCommand.js';
import type { TokenPool } from './TokenPool.js';

/** A lease is renewed after a third of its time, so two lost renewals leave no gap. */
const RENEWALS_PER_LEASE = 3;

const RETRIES_PER_LEASE = 8;

const MIN_RETRY_MS = 100;

/** Spreads the requests of a new holder in a large failure domain over several ticks. */
const MAX_REQUESTS_PER_TICK = 32;

interface Ask {
  readonly id: string;
  readonly sentMs: number;
}

/** What a holder knows of one owner. */
interface Loan {
  /** Empty while the holder has no lease of the owner's share. */
  leaseId: string;
  /** Latest request; only its grant is accepted. */
  ask: Ask | undefined;
  nextMs: number;
  unanswered: number;
}

/** Whole shares that this node borrows as the holder of its failure domain. */
export class BorrowedShares {
  readonly #pool: TokenPool;

  readonly #ids: LeaseIds;

  readonly #loans = new Map<string, Loan>();

  #leaseMs = 0;

  /**
   * @param pool - Pool of the node.
   * @param ids - Source of lease ids.
   */
  constructor(pool: TokenPool, ids: LeaseIds) {
    this.#pool = pool;
    this.#ids = ids;
  }

  /**
   * Takes the lease time of a bundle, which sets how often the holder asks.
   * @param leaseMs - Lease time, in milliseconds.
   */
  configure(leaseMs: number): void {
    this.#leaseMs = leaseMs;
  }

  /**
   * Asks owners for their shares and renews leases.
   * @param owners - VMs of the failure domain without this one.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  request(owners: readonly string[], nowMs: number): readonly ShareCommand[] {
    this.#dropEnded();
    owners
      .filter((owner) => !this.#loans.has(owner))
      .forEach((owner) =>
        this.#loans.set(owner, { leaseId: '', ask: undefined, nextMs: nowMs, unanswered: 0 }),
      );
    const known = new Set(owners);
    [...this.#loans]
      .filter(([owner, loan]) => !known.has(owner) && loan.leaseId === '')
      .forEach(([owner]) => this.#loans.delete(owner));
    return [...this.#loans]
      .filter(([owner, loan]) => loan.nextMs <= nowMs && known.has(owner))
      .slice(0, MAX_REQUESTS_PER_TICK)
      .map(([owner, loan]) => this.#ask(owner, loan, nowMs));
  }

  /**
   * Gives back every share that no sublease needs.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  release(nowMs: number): readonly ShareCommand[] {
    this.#dropEnded();
    return [...this.#loans].flatMap(([owner, loan]) => this.#giveBack(owner, loan, nowMs));
  }

  /**
   * Takes a grant, or a refusal, of an owner.
   * @param owner - VM that answers.
   * @param grant - Its answer.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receiveGrant(owner: string, grant: wire.ShareGrant, nowMs: number): void {
    const loan = this.#loans.get(owner);
    if (loan?.ask === undefined || loan.ask.id !== grant.requestId) {
      return;
    }
    const { sentMs } = loan.ask;
    loan.ask = undefined;
    loan.unanswered = 0;
    const expiresMs = sentMs + grant.leaseMs;
    const renews = loan.leaseId !== '';
    const isLost = renews && (loan.leaseId !== grant.leaseId || !this.#pool.has(owner));
    if (grant.leaseMs === 0 || isLost || expiresMs <= nowMs) {
      loan.nextMs = nowMs + this.#computeRetryMs();
      return;
    }
    loan.leaseId = grant.leaseId;
    loan.nextMs = sentMs + this.#leaseMs / RENEWALS_PER_LEASE;
    const levels = new Map(grant.parts.map(({ workspace, level }) => [workspace, level]));
    this.#pool.add(owner, { fraction: grant.wholeShare, expiresMs }, nowMs, levels);
  }

  /** Forgets every lease and request. */
  clear(): void {
    this.#loans.clear();
  }

  /** Counts the borrowed shares. */
  count(): number {
    return [...this.#loans.keys()].filter((owner) => this.#pool.has(owner)).length;
  }

  #dropEnded(): void {
    this.#loans.forEach((loan, owner) => {
      if (loan.leaseId !== '' && !this.#pool.has(owner)) {
        Object.assign(loan, { leaseId: '', ask: undefined });
      }
    });
  }

  #ask(owner: string, loan: Loan, nowMs: number): ShareCommand {
    const request = protobuf.create(wire.ShareRequestSchema, {
      requestId: this.#ids.mint(),
      wholeShare: true,
      leaseId: loan.leaseId,
    });
    // An owner that does not answer may be dead; the waits double up to the lease time.
    const retryMs = Math.min(this.#leaseMs, this.#computeRetryMs() * 2 ** loan.unanswered);
    Object.assign(loan, {
      ask: { id: request.requestId, sentMs: nowMs },
      nextMs: nowMs + retryMs,
      unanswered: loan.unanswered + 1,
    });
    const frame = wire.createFrame({ case: 'shareRequest', value: request });
    return { kind: 'sendRequest', peer: owner, frame };
  }

  #giveBack(owner: string, loan: Loan, nowMs: number): readonly ShareCommand[] {
    const levels = loan.leaseId === '' ? undefined : this.#pool.remove(owner, nowMs);
    if (loan.leaseId === '') {
      this.#loans.delete(owner);
    }
    if (levels === undefined) {
      return [];
    }
    this.#loans.delete(owner);
    const value = protobuf.create(wire.ShareReturnSchema, {
      leaseId: loan.leaseId,
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
