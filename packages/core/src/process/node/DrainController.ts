import { create } from '@bufbuild/protobuf';
import { LeavingSchema } from '@tanagerpond/wire';
import type { VmIdentity } from '../membership/index.js';
import type { Outbox } from './Outbox.js';
import type { PeerLinks } from './PeerLinks.js';

/**
 * Shortest time between the announcement of a planned stop and its end. During this time, callers that still use this
 * node's address are served, and peers learn that the VM is leaving.
 */
const MIN_ANNOUNCEMENT_MS = 2_000;

/**
 * Part of the longest duration of a planned stop for which a repeatable request must fit into what is left. Its caller may
 * send it again, so it is accepted although it may last longer, and then answered at the end of the stop.
 */
const REPEATABLE_PART = 0.5;

/** State of a VM in the platform's list. */
export type ListedState = 'live' | 'leaving' | 'absent';

/**
 * Decides whether this VM is leaving, announces changes to the peers, and decides when the drain of a planned stop
 * ends. A VM is leaving during a planned stop, while its backend server drains, and while the platform does not list it
 * as live.
 */
export class DrainController {
  readonly #self: VmIdentity;

  readonly #links: PeerLinks;

  readonly #outbox: Outbox;

  readonly #drainLimitMs: number;

  #drainSinceMs: number | undefined;

  #isBackendDraining = false;

  /** State of this node's VM in the list; undefined until it first appears there. */
  #listed: ListedState | undefined;

  #hasAnnounced = false;

  #isDone = false;

  /**
   * @param self - VM of this node.
   * @param links - Peers that receive announcements.
   * @param outbox - Outbox for the announcements.
   * @param drainLimitMs - Longest duration of a planned stop, in milliseconds.
   */
  constructor(self: VmIdentity, links: PeerLinks, outbox: Outbox, drainLimitMs: number) {
    this.#self = self;
    this.#links = links;
    this.#outbox = outbox;
    this.#drainLimitMs = drainLimitMs;
  }

  /** Returns whether the VM is leaving, so that its backend server must not get new calls. */
  isLeaving(): boolean {
    return this.#drainSinceMs !== undefined || this.#isBackendDraining || this.#isListedAsNotLive();
  }

  /** Returns whether a planned stop of the process has started. */
  isStopping(): boolean {
    return this.#drainSinceMs !== undefined;
  }

  /**
   * Measures the time until a planned stop cuts off the requests that are not done, in milliseconds; infinite if none has
   * started.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  measureRemainingMs(nowMs: number): number {
    const sinceMs = this.#drainSinceMs;
    return sinceMs === undefined ? Number.POSITIVE_INFINITY : sinceMs + this.#drainLimitMs - nowMs;
  }

  /**
   * Returns whether a request that arrives now will be answered before a planned stop ends; true if none has started.
   * @param longestMs - Time within which the request is answered, in milliseconds.
   * @param repeatable - Whether the request may run more than once.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  canFinish(longestMs: number, repeatable: boolean, nowMs: number): boolean {
    const neededMs = repeatable
      ? Math.min(longestMs, REPEATABLE_PART * this.#drainLimitMs)
      : longestMs;
    return neededMs <= this.measureRemainingMs(nowMs);
  }

  /**
   * Starts the planned stop of the process.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  startDrain(nowMs: number): void {
    this.#drainSinceMs ??= nowMs;
    this.#announceChange();
  }

  /**
   * Records whether the backend server reports that it is draining.
   * @param draining - True if it finishes its running calls and accepts no new ones.
   */
  recordBackendDrain(draining: boolean): void {
    this.#isBackendDraining = draining;
    this.#announceChange();
  }

  /**
   * Records the state of this node's VM in the platform's list. A VM that was listed and is now absent is leaving, too.
   * @param state - State in the list.
   * @returns The resulting state of the backend server, or undefined if it is unchanged.
   */
  recordListed(state: ListedState): 'up' | 'draining' | undefined {
    if (state === 'absent' && this.#listed === undefined) {
      return undefined;
    }
    const before = this.#isListedAsNotLive();
    this.#listed = state;
    this.#announceChange();
    if (this.#isListedAsNotLive() === before) {
      return undefined;
    }
    return before ? 'up' : 'draining';
  }

  /**
   * Announces to a peer whose stream has just opened that this VM is leaving, if it is.
   * @param peer - VM at the other end.
   * @param inbound - True if the peer opened the stream.
   */
  announceTo(peer: string, inbound: boolean): void {
    if (this.#hasAnnounced) {
      this.#send(peer, inbound, false);
    }
  }

  /**
   * Ends the drain of a planned stop when no calls are in flight, but not before the announcement time has passed; or
   * when the time limit has passed.
   * @param callsInFlight - Number of calls that are not done.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns True only in the call in which the drain ends.
   */
  finishDrain(callsInFlight: number, nowMs: number): boolean {
    if (this.#drainSinceMs === undefined || this.#isDone) {
      return false;
    }
    const elapsedMs = nowMs - this.#drainSinceMs;
    const isIdle = callsInFlight === 0 && elapsedMs >= MIN_ANNOUNCEMENT_MS;
    this.#isDone = isIdle || elapsedMs >= this.#drainLimitMs;
    return this.#isDone;
  }

  #isListedAsNotLive(): boolean {
    return this.#listed !== undefined && this.#listed !== 'live';
  }

  #announceChange(): void {
    const leaving = this.isLeaving();
    if (leaving === this.#hasAnnounced) {
      return;
    }
    this.#hasAnnounced = leaving;
    this.#links.listOutbound().forEach((peer) => this.#send(peer, false, !leaving));
    this.#links.listInbound().forEach((peer) => this.#send(peer, true, !leaving));
  }

  #send(peer: string, inbound: boolean, returned: boolean): void {
    const { name: vm, incarnation } = this.#self;
    const value = create(LeavingSchema, {
      vm,
      incarnation,
      returned,
      backend: this.#isBackendDraining,
    });
    if (inbound) {
      this.#outbox.sendReply(peer, { case: 'leaving', value });
      return;
    }
    this.#outbox.sendRequest(peer, { case: 'leaving', value });
  }
}
