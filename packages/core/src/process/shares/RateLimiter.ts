import type { Bundle, Workspace } from '@tanagerpond/bundle';
import * as wire from '@tanagerpond/wire';
import type * as membership from '../membership/index.js';
import type * as time from '../time/index.js';
import { BorrowedShares } from './BorrowedShares.js';
import { FleetSize } from './FleetSize.js';
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

/** The first position in the list of holders is drawn from this range. */
const CURSOR_RANGE = 1_000;

/** Options of a rate limiter. */
export interface RateLimiterOptions extends RateOptions {
  readonly self: membership.VmIdentity;
  readonly membership: membership.Membership;
  readonly random: time.RandomSource;
  /** Monotonic time of the process start, in milliseconds. No earlier process of the VM acts after it. */
  readonly startedMs: number;
}

/**
 * Distributed rate limiter. Every VM owns an equal share of the rate and burst of each workspace. The holder of a
 * failure domain leases the whole shares of the VMs there, and lends tokens from them as subleases to the nodes that
 * need them. Capacity and refill are at exactly one place at any time: with the owner, with a holder that leases the
 * owner's whole share, or, for capacity only, with a borrower of tokens. So the whole fleet never grants more requests
 * in any time window than rate x length + burst.
 */
export class RateLimiter {
  readonly #pool = new TokenPool();

  readonly #subleases = new SubleaseTable(this.#pool);

  /** Name of the VM that this node runs on. */
  readonly #name: string;

  readonly #membership: membership.Membership;

  readonly #rates: WorkspaceRates;

  readonly #ownShare: OwnShare;

  readonly #borrowedShares: BorrowedShares;

  readonly #ranking: HolderRanking;

  /** Number of VMs that may use a share, if the bundle declares no maximum number of VMs. */
  readonly #fleetSize = new FleetSize();

  readonly #borrower: TokenBorrower;

  readonly #queue: RequestQueue;

  #bundle: Bundle | undefined;

  #startedMs: number;

  #clockMs: number;

  #subleasesPausedUntilMs = Number.NEGATIVE_INFINITY;

  #isReleased = false;

  /** Part of the rates that the own share has, if the bundle declares no maximum number of VMs. */
  #fraction = 0;

  /** @param options - Identity, list of VMs, random source, start time and rate options. */
  constructor(options: RateLimiterOptions) {
    const { self, membership: view, random, startedMs } = options;
    this.#rates = new WorkspaceRates(options);
    const ids = new LeaseIds(self.incarnation);
    this.#name = self.name;
    this.#membership = view;
    this.#ownShare = new OwnShare(self.name, this.#pool);
    this.#borrowedShares = new BorrowedShares(this.#pool, ids);
    this.#ranking = new HolderRanking(self, view);
    this.#borrower = new TokenBorrower(ids, Math.floor(random.next() * CURSOR_RANGE));
    this.#queue = new RequestQueue(this.#pool, random, (nowMs) =>
      this.#measureStartupWaitMs(nowMs),
    );
    this.#startedMs = startedMs;
    this.#clockMs = startedMs;
  }

  /**
   * Applies the rates and lease times of a bundle. Shares and subleases are fractions and stay valid; token counts are
   * capped at the new bursts.
   * @param bundle - Bundle that becomes active.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  applyBundle(bundle: Bundle, nowMs: number): void {
    const { shareLeaseMs } = bundle.fleet;
    if (this.#bundle === undefined) {
      this.#clockMs = Math.max(this.#clockMs, nowMs);
    }
    const clockMs = this.#advanceClock(nowMs);
    this.#bundle = bundle;
    this.#configureRates(this.#rates.apply(bundle, clockMs), clockMs);
    this.#configureOwnShare(bundle, clockMs);
    this.#borrowedShares.configure(shareLeaseMs);
    this.#borrower.configure(computeSubleaseMs(shareLeaseMs));
  }

  /**
   * Applies a new list of VMs. It sets the size of the shares if the bundle declares no maximum number of VMs.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  applyMembership(nowMs: number): void {
    const clockMs = this.#advanceClock(nowMs);
    this.#fleetSize.record(this.#membership.size, clockMs);
    this.#resizeOwnShare(clockMs);
  }

  /**
   * Requests one token for a call.
   * @param workspace - Name of the workspace.
   * @param requestId - Id of the request, which a later `granted` or `denied` command names.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns `waiting` if the decision follows as a command within about 100 ms.
   */
  request(workspace: string, requestId: string, nowMs: number): 'granted' | 'waiting' {
    const clockMs = this.#advanceClock(nowMs);
    return this.#queue.request(workspace, requestId, clockMs);
  }

  /**
   * Removes a waiting request; no command follows for it.
   * @param requestId - Id of the request.
   */
  cancel(requestId: string): void {
    this.#queue.cancel(requestId);
  }

  /**
   * Handles a frame from a peer. A frame with a number that is negative or not finite is ignored.
   * @param peer - Name of the peer's VM.
   * @param frame - Body of the frame.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receive(peer: string, frame: ShareFrame, nowMs: number): readonly ShareCommand[] {
    const clockMs = this.#advanceClock(nowMs);
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
   * Decides waiting requests, renews leases, borrows tokens and returns unused ones. Call on every tick, and right
   * after a request that has to wait, which then does not lose the time until the next tick.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): readonly ShareCommand[] {
    const clockMs = this.#advanceClock(nowMs);
    if (this.#bundle === undefined) {
      return this.#queue.advance(clockMs);
    }
    const changed = this.#rates.advance(clockMs);
    if (changed !== undefined) {
      this.#configureRates(changed, clockMs);
    }
    this.#resizeOwnShare(clockMs);
    this.#borrower.advance(clockMs);
    return [
      ...this.#queue.advance(clockMs),
      ...this.#advanceBorrowedShares(clockMs),
      ...mergeReturns([
        ...this.#borrower.release(this.#queue.demands.values(), clockMs),
        ...this.#requestTokens(clockMs),
      ]),
    ];
  }

  /**
   * Prepares a planned stop: denies waiting requests, returns borrowed tokens and shares, and borrows nothing more.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  release(nowMs: number): readonly ShareCommand[] {
    const clockMs = this.#advanceClock(nowMs);
    this.#isReleased = true;
    return [
      ...this.#queue.denyAll(clockMs),
      ...this.#borrower.release(this.#queue.demands.values(), Number.POSITIVE_INFINITY),
      ...this.#borrowedShares.release(clockMs),
    ];
  }

  /**
   * Describes the state behind a rate decision, for log lines: the fraction of every rate that the node's pool has, the
   * time since this fraction changed or was renewed, and the time since a holder last reported its remaining tokens,
   * both in milliseconds.
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
   * Returns shares, token counts and demand for the state dump, with at most 64 workspaces.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  snapshot(nowMs: number): ShareSnapshot {
    const clockMs = this.#advanceClock(nowMs);
    return {
      holder: this.#isHolder(clockMs),
      own: this.#ownShare.snapshot(clockMs),
      borrowedShares: this.#borrowedShares.count(),
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

  #configureOwnShare({ fleet }: Bundle, nowMs: number): void {
    const { maxVms, shareLeaseMs } = fleet;
    if (maxVms !== undefined) {
      this.#ownShare.configure(1 / maxVms, shareLeaseMs, this.#startedMs, nowMs);
      return;
    }
    const settledMs = this.#fleetSize.computeSettledMs();
    this.#fraction = this.#computeFraction(nowMs);
    this.#ownShare.configure(this.#fraction, shareLeaseMs, this.#startedMs, nowMs, settledMs);
  }

  /** Adapts the own share to the number of VMs, if the bundle declares no maximum for it. */
  #resizeOwnShare(nowMs: number): void {
    const bundle = this.#bundle;
    if (bundle === undefined || bundle.fleet.maxVms !== undefined) {
      return;
    }
    if (!this.#ownShare.isReady(nowMs) || this.#computeFraction(nowMs) !== this.#fraction) {
      this.#configureOwnShare(bundle, nowMs);
    }
  }

  /** Computes the part of the rates that this node owns; none while it is not listed, since the others own all of them. */
  #computeFraction(nowMs: number): number {
    const isListed = this.#membership.find(this.#name) !== undefined;
    return isListed ? 1 / this.#fleetSize.compute(nowMs) : 0;
  }

  /**
   * Removes expired leases, subleases and tokens before any decision. If no call came for longer than a lease, resets
   * the node. Returns the time to decide with, which never goes back.
   */
  #advanceClock(nowMs: number): number {
    const clockMs = Math.max(nowMs, this.#clockMs);
    const gapMs = clockMs - this.#clockMs;
    this.#clockMs = clockMs;
    if (this.#bundle === undefined) {
      return clockMs;
    }
    if (gapMs > this.#bundle.fleet.shareLeaseMs) {
      this.#reset(clockMs);
    }
    this.#pool.removeExpired(clockMs);
    this.#subleases.removeExpired(clockMs);
    this.#ownShare.update(clockMs);
    this.#queue.removeExpiredTokens(clockMs);
    return clockMs;
  }

  /** After a pause longer than a lease, the node acts as if it had just started. */
  #reset(nowMs: number): void {
    this.#startedMs = nowMs;
    this.#pool.clear();
    this.#subleases.clear();
    this.#borrowedShares.clear();
    this.#borrower.clear();
    this.#queue.clear();
    this.#ownShare.reset(nowMs);
  }

  #receiveRequest(
    peer: string,
    request: wire.ShareRequest,
    nowMs: number,
  ): readonly ShareCommand[] {
    request.returned.forEach((returned) => this.#subleases.receiveReturn(peer, returned, nowMs));
    const grant = request.wholeShare
      ? this.#answerHolder(peer, request, nowMs)
      : this.#answerBorrower(peer, request, nowMs);
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
    const grant = this.#ownShare.answer(peer, request, nowMs);
    if (grant?.leaseMs === 0 && this.#ranking.isOutrankedBy(peer)) {
      this.#ownShare.recordRequest(nowMs);
      // Running subleases may keep the share from being leased. They end if no new ones are granted.
      this.#subleasesPausedUntilMs = nowMs + 2 * this.#computeSubleaseMs();
    }
    return grant;
  }

  #answerBorrower(
    peer: string,
    request: wire.ShareRequest,
    nowMs: number,
  ): wire.ShareGrant | undefined {
    const isPaused = nowMs < this.#subleasesPausedUntilMs;
    const wanted = isPaused || this.#isReleased ? [] : request.wanted;
    return this.#subleases.grant(peer, { ...request, wanted }, this.#computeSubleaseMs(), nowMs);
  }

  #receiveGrant(peer: string, grant: wire.ShareGrant, nowMs: number): readonly ShareCommand[] {
    this.#borrowedShares.receiveGrant(peer, grant, nowMs);
    const { demands } = this.#queue;
    const names = this.#borrower.receiveGrant(peer, grant, demands, nowMs);
    const granted = names.flatMap((name) => this.#queue.drain(name, nowMs));
    return [...granted, ...this.#requestTokens(nowMs)];
  }

  #receiveReturn(peer: string, returned: wire.ShareReturn, nowMs: number): readonly ShareCommand[] {
    const lender = returned.ends ? this.#ownShare : this.#subleases;
    lender.receiveReturn(peer, returned, nowMs);
    return [];
  }

  #advanceBorrowedShares(nowMs: number): readonly ShareCommand[] {
    if (this.#isHolder(nowMs) && !this.#isReleased) {
      return this.#borrowedShares.request(this.#ranking.listOwners(), nowMs);
    }
    if (this.#borrowedShares.count() > 0) {
      this.#subleasesPausedUntilMs = nowMs + this.#computeSubleaseMs();
    }
    return this.#borrowedShares.release(nowMs);
  }

  #requestTokens(nowMs: number): readonly ShareCommand[] {
    if (this.#isReleased) {
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
    return this.#ranking.isHolder(this.#ownShare.measureUnleasedMs(nowMs), leaseMs);
  }

  /** Returns 0 for a node with a borrowed share, because it can grant from that share during its own startup wait. */
  #measureStartupWaitMs(nowMs: number): number {
    const needsNoWait = this.#bundle === undefined || this.#borrowedShares.count() > 0;
    return needsNoWait ? 0 : this.#ownShare.measureStartupWaitMs(nowMs);
  }

  #computeSubleaseMs(): number {
    return computeSubleaseMs(this.#bundle?.fleet.shareLeaseMs ?? 0);
  }
}
