import type { Bundle, Workspace } from '@tanagerpond/bundle';
import * as wire from '@tanagerpond/wire';
import type * as membership from '../membership/index.js';
import type * as time from '../time/index.js';
import { BorrowedShares } from './BorrowedShares.js';
import { HolderRanking } from './HolderRanking.js';
import { isFiniteFrame } from './isFiniteFrame.js';
import { LeaseIds } from './LeaseIds.js';
import { mergeReturns } from './mergeReturns.js';
import { OwnShare } from './OwnShare.js';
import { RequestQueue } from './RequestQueue.js';
import type { ShareCommand } from './ShareCommand.js';
import type { ShareFrame } from './ShareFrame.js';
import type { ShareDescription, ShareSnapshot } from './ShareSnapshot.js';
import { computeSubleaseMs } from './shareLimits.js';
import { SubleaseTable } from './SubleaseTable.js';
import { TokenBorrower } from './TokenBorrower.js';
import { TokenPool } from './TokenPool.js';
import { WorkspaceRates, type RateOptions } from './WorkspaceRates.js';

/** Start position in the list of holders is drawn from this range. */
const CURSOR_RANGE = 1_000;

/** What a ledger is built from. */
export interface RateLimiterOptions extends RateOptions {
  readonly self: membership.VmIdentity;
  readonly membership: membership.Membership;
  readonly random: time.RandomSource;
  /** Start of the process on its monotonic clock. No earlier run of the VM acts after it. */
  readonly startedMs: number;
}

/**
 * Distributed rate limiter. Capacity and refill of every workspace are at exactly one place at any time: with the
 * owner, with a holder that borrowed the owner's whole share, or, for capacity only, with a spender that borrowed tokens
 * from a holder. So no window sees more requests granted in the whole fleet than rate x length + burst.
 */
export class RateLimiter {
  readonly #pool = new TokenPool();

  readonly #subleases = new SubleaseTable(this.#pool);

  readonly #membership: membership.Membership;

  readonly #rates: WorkspaceRates;

  readonly #own: OwnShare;

  readonly #domain: BorrowedShares;

  readonly #ranking: HolderRanking;

  readonly #borrower: TokenBorrower;

  readonly #queue: RequestQueue;

  #bundle: Bundle | undefined;

  #startedMs: number;

  #lastMs: number;

  #closingUntilMs = Number.NEGATIVE_INFINITY;

  #released = false;

  /** @param options - Identity, membership view, random source and start time in milliseconds. */
  constructor(options: RateLimiterOptions) {
    const { self, membership: view, random, startedMs } = options;
    this.#rates = new WorkspaceRates(options);
    const ids = new LeaseIds(self.incarnation);
    this.#membership = view;
    this.#own = new OwnShare(self.name, this.#pool);
    this.#domain = new BorrowedShares(this.#pool, ids);
    this.#ranking = new HolderRanking(self, view);
    this.#borrower = new TokenBorrower(ids, Math.floor(random.next() * CURSOR_RANGE));
    this.#queue = new RequestQueue(this.#pool, random, (nowMs) => this.#measureWaitMs(nowMs));
    this.#startedMs = startedMs;
    this.#lastMs = startedMs;
  }

  /**
   * Takes a bundle. Shares and parts are fractions and stay valid; levels are capped by the new bursts.
   * @param bundle - Bundle that comes into force.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  applyBundle(bundle: Bundle, nowMs: number): void {
    const { shareLeaseMs } = bundle.fleet;
    if (this.#bundle === undefined) {
      this.#lastMs = Math.max(this.#lastMs, nowMs);
    }
    const clockMs = this.#settle(nowMs);
    this.#bundle = bundle;
    this.#configureRates(this.#rates.apply(bundle, clockMs), clockMs);
    this.#configureOwn(bundle, clockMs);
    this.#domain.configure(shareLeaseMs);
    this.#borrower.configure(computeSubleaseMs(shareLeaseMs));
  }

  /**
   * Takes a new list of VMs, whose number counts when the bundle declares no maximum.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  applyMembership(nowMs: number): void {
    if (this.#bundle !== undefined && this.#bundle.fleet.maxVms === undefined) {
      this.#configureOwn(this.#bundle, this.#settle(nowMs));
    }
  }

  /**
   * Asks for one token.
   * @param workspace - Name of the workspace.
   * @param requestId - Id that a later `granted` or `denied` names.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns `waiting` when the decision follows as a command within about 100 ms.
   */
  request(workspace: string, requestId: string, nowMs: number): 'granted' | 'waiting' {
    const clockMs = this.#settle(nowMs);
    return this.#queue.request(workspace, requestId, clockMs);
  }

  /**
   * Forgets a waiting request.
   * @param requestId - Its id.
   */
  cancel(requestId: string): void {
    this.#queue.cancel(requestId);
  }

  /**
   * Takes a frame of a peer.
   * @param peer - Name of the peer's VM.
   * @param frame - Body of the frame.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receive(peer: string, frame: ShareFrame, nowMs: number): readonly ShareCommand[] {
    const clockMs = this.#settle(nowMs);
    if (this.#bundle === undefined || !isFiniteFrame(frame)) {
      return [];
    }
    switch (frame.case) {
      case 'shareRequest':
        return this.#receiveRequest(peer, frame.value, clockMs);
      case 'shareGrant':
        return this.#receiveGrant(peer, frame.value, clockMs);
      default:
        return this.#receiveReturn(peer, frame.value, clockMs);
    }
  }

  /**
   * Renews, borrows, gives back and decides waiting requests. Call on every tick; after a request that has to wait, a
   * call before the next tick saves it the time until then.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): readonly ShareCommand[] {
    const clockMs = this.#settle(nowMs);
    if (this.#bundle === undefined) {
      return this.#queue.advance(clockMs);
    }
    const changed = this.#rates.advance(clockMs);
    if (changed !== undefined) {
      this.#configureRates(changed, clockMs);
    }
    this.#borrower.advance(clockMs);
    return [
      ...this.#queue.advance(clockMs),
      ...this.#advanceDomain(clockMs),
      ...mergeReturns([
        ...this.#borrower.release(this.#queue.demands.values(), clockMs),
        ...this.#requestTokens(clockMs),
      ]),
    ];
  }

  /**
   * Prepares a planned stop: denies waiting requests, gives back what is borrowed and borrows nothing more.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  release(nowMs: number): readonly ShareCommand[] {
    const clockMs = this.#settle(nowMs);
    this.#released = true;
    return [
      ...this.#queue.denyAll(clockMs),
      ...this.#borrower.release(this.#queue.demands.values(), Number.POSITIVE_INFINITY),
      ...this.#domain.release(clockMs),
    ];
  }

  /**
   * Describes the part of a rate that this node decides with, for log lines: the part that it has as a whole and the time
   * since that changed or was renewed, and the time since a holder last told what it has left, in milliseconds.
   * @param workspace - Name of the workspace.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  describeShare(workspace: string, nowMs: number): ShareDescription {
    return {
      shareFraction: this.#pool.fraction,
      shareAgeMs: this.#pool.measureShareAge(nowMs),
      holderAgeMs: this.#borrower.measureAnswerAge(workspace, nowMs),
    };
  }

  /**
   * Shows shares and levels for the state dump; at most 64 workspaces.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  snapshot(nowMs: number): ShareSnapshot {
    const clockMs = this.#settle(nowMs);
    return {
      holder: this.#isHolder(clockMs),
      own: this.#own.snapshot(clockMs),
      borrowedShares: this.#domain.count(),
      subleases: this.#subleases.count(),
      tokenRequests: this.#borrower.count(),
      pool: this.#pool.snapshot(clockMs),
      demand: this.#queue.snapshot(),
    };
  }

  #configureRates(workspaces: ReadonlyMap<string, Workspace>, nowMs: number): void {
    this.#pool.configure(workspaces, nowMs);
    this.#queue.configure(workspaces);
  }

  /** Without a declared maximum, the rates are divided by the number of listed VMs. */
  #configureOwn({ fleet }: Bundle, nowMs: number): void {
    const shares = fleet.maxVms ?? Math.max(1, this.#membership.size);
    this.#own.configure(1 / shares, fleet.shareLeaseMs, this.#startedMs, nowMs);
  }

  /** Ends what is over by the clock before anything is decided. Returns the time to decide with. */
  #settle(nowMs: number): number {
    const clockMs = Math.max(nowMs, this.#lastMs);
    const gapMs = clockMs - this.#lastMs;
    this.#lastMs = clockMs;
    if (this.#bundle === undefined) {
      return clockMs;
    }
    if (gapMs > this.#bundle.fleet.shareLeaseMs) {
      this.#reset(clockMs);
    }
    this.#pool.removeExpired(clockMs);
    this.#subleases.removeExpired(clockMs);
    this.#own.update(clockMs);
    this.#queue.removeExpiredTokens(clockMs);
    return clockMs;
  }

  /** After a long pause the node acts as if it had just started. */
  #reset(nowMs: number): void {
    this.#startedMs = nowMs;
    this.#pool.clear();
    this.#subleases.clear();
    this.#domain.clear();
    this.#borrower.clear();
    this.#queue.clear();
    this.#own.reset(nowMs);
  }

  #receiveRequest(
    peer: string,
    request: wire.ShareRequest,
    nowMs: number,
  ): readonly ShareCommand[] {
    request.returned.forEach((returned) => this.#subleases.receiveReturn(peer, returned, nowMs));
    const grant = request.wholeShare
      ? this.#answerHolder(peer, request, nowMs)
      : this.#answerSpender(peer, request, nowMs);
    if (grant === undefined) {
      return [];
    }
    const frame = wire.createFrame({ case: 'shareGrant', value: grant });
    return [{ kind: 'sendReply', peer, frame }];
  }

  #answerHolder(
    peer: string,
    request: wire.ShareRequest,
    nowMs: number,
  ): wire.ShareGrant | undefined {
    const grant = this.#own.answer(peer, request, nowMs);
    if (grant?.leaseMs === 0 && this.#ranking.isOutrankedBy(peer)) {
      this.#own.recordRequest(nowMs);
      // Subleases of the own share may stand in the way; without new ones they end.
      this.#closingUntilMs = nowMs + 2 * this.#computeSubleaseMs();
    }
    return grant;
  }

  #answerSpender(
    peer: string,
    request: wire.ShareRequest,
    nowMs: number,
  ): wire.ShareGrant | undefined {
    const isClosing = nowMs < this.#closingUntilMs;
    const wanted = isClosing || this.#released ? [] : request.wanted;
    return this.#subleases.grant(peer, { ...request, wanted }, this.#computeSubleaseMs(), nowMs);
  }

  #receiveGrant(peer: string, grant: wire.ShareGrant, nowMs: number): readonly ShareCommand[] {
    this.#domain.receiveGrant(peer, grant, nowMs);
    const { demands } = this.#queue;
    const names = this.#borrower.receiveGrant(peer, grant, demands, nowMs);
    const granted = names.flatMap((name) => this.#queue.drain(name, nowMs));
    return [...granted, ...this.#requestTokens(nowMs)];
  }

  #receiveReturn(peer: string, returned: wire.ShareReturn, nowMs: number): readonly ShareCommand[] {
    const place = returned.ends ? this.#own : this.#subleases;
    place.receiveReturn(peer, returned, nowMs);
    return [];
  }

  #advanceDomain(nowMs: number): readonly ShareCommand[] {
    if (this.#isHolder(nowMs) && !this.#released) {
      return this.#domain.request(this.#ranking.listOwners(), nowMs);
    }
    if (this.#domain.count() > 0) {
      this.#closingUntilMs = nowMs + this.#computeSubleaseMs();
    }
    return this.#domain.release(nowMs);
  }

  #requestTokens(nowMs: number): readonly ShareCommand[] {
    if (this.#released) {
      return [];
    }
    return this.#borrower.request(
      this.#queue.demands,
      this.#ranking.listOtherHolders((vm) => this.#borrower.isUnresponsive(vm)),
      (name) => this.#pool.readLevel(name, nowMs),
      nowMs,
    );
  }

  #isHolder(nowMs: number): boolean {
    const leaseMs = this.#bundle?.fleet.shareLeaseMs ?? 0;
    return this.#ranking.isHolder(this.#own.measureUnleasedMs(nowMs), leaseMs);
  }

  /** A node that has a borrowed share grants from it during its own wait after the start. */
  #measureWaitMs(nowMs: number): number {
    const needsNoWait = this.#bundle === undefined || this.#domain.count() > 0;
    return needsNoWait ? 0 : this.#own.measureStartupWaitMs(nowMs);
  }

  #computeSubleaseMs(): number {
    return computeSubleaseMs(this.#bundle?.fleet.shareLeaseMs ?? 0);
  }
}
