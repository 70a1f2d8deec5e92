import { create } from '@bufbuild/protobuf';
import { LeavingSchema } from '@tanagerpond/wire';
import type { VmIdentity } from '../membership/index.js';
import type { Outbox } from './Outbox.js';
import type { PeerLinks } from './PeerLinks.js';

/**
 * Shortest time between the announcement of a planned stop and its end, in milliseconds. In it, callers that still
 * have this node's address are served, and peers learn that it leaves.
 */
const ANNOUNCE_MS = 2_000;

/** What the platform's list says of a VM. */
export type ListedState = 'live' | 'leaving' | 'absent';

/** Decides whether this VM leaves, tells the peers, and says when a drain is done. */
export class DrainController {
  readonly #self: VmIdentity;

  readonly #links: PeerLinks;

  readonly #outbox: Outbox;

  readonly #drainLimitMs: number;

  #drainSinceMs: number | undefined;

  #backendDrains = false;

  /** What the list says of the own VM; undefined before it first appears there. */
  #listed: ListedState | undefined;

  #announced = false;

  #isDone = false;

  /**
   * @param self - VM of this node.
   * @param links - Peers to tell.
   * @param outbox - Takes the announcements.
   * @param drainLimitMs - Longest time that calls in flight get, in milliseconds.
   */
  constructor(self: VmIdentity, links: PeerLinks, outbox: Outbox, drainLimitMs: number) {
    this.#self = self;
    this.#links = links;
    this.#outbox = outbox;
    this.#drainLimitMs = drainLimitMs;
  }

  /** Tells whether the backend server gets no new calls. */
  isLeaving(): boolean {
    return this.#drainSinceMs !== undefined || this.#backendDrains || this.#isListedAway();
  }

  /** True once the process is being stopped; a backend server that leaves does not stop it. */
  isStopping(): boolean {
    return this.#drainSinceMs !== undefined;
  }

  /**
   * Starts the planned stop of the process.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  startDrain(nowMs: number): void {
    this.#drainSinceMs ??= nowMs;
    this.#update();
  }

  /**
   * Takes what the backend server says of itself.
   * @param draining - It finishes its work and takes no more.
   */
  recordBackendDrain(draining: boolean): void {
    this.#backendDrains = draining;
    this.#update();
  }

  /**
   * Takes what the platform's list says of the own VM. One that was listed and is not any more leaves, too.
   * @param state - State in the list.
   * @returns The state of the backend server that follows, when it changed.
   */
  recordListed(state: ListedState): 'up' | 'draining' | undefined {
    if (state === 'absent' && this.#listed === undefined) {
      return undefined;
    }
    const before = this.#isListedAway();
    this.#listed = state;
    this.#update();
    if (this.#isListedAway() === before) {
      return undefined;
    }
    return before ? 'up' : 'draining';
  }

  /**
   * Tells a peer whose stream has just come up.
   * @param peer - VM at the other end.
   * @param inbound - The peer opened the stream.
   */
  announceTo(peer: string, inbound: boolean): void {
    if (this.#announced) {
      this.#send(peer, inbound, false);
    }
  }

  /**
   * Tells whether a drain has just come to its end.
   * @param callsInFlight - Calls that are not done.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  finishDrain(callsInFlight: number, nowMs: number): boolean {
    if (this.#drainSinceMs === undefined || this.#isDone) {
      return false;
    }
    const elapsedMs = nowMs - this.#drainSinceMs;
    const isIdle = callsInFlight === 0 && elapsedMs >= ANNOUNCE_MS;
    this.#isDone = isIdle || elapsedMs >= this.#drainLimitMs;
    return this.#isDone;
  }

  #isListedAway(): boolean {
    return this.#listed !== undefined && this.#listed !== 'live';
  }

  #update(): void {
    const leaving = this.isLeaving();
    if (leaving === this.#announced) {
      return;
    }
    this.#announced = leaving;
    this.#links.listOutbound().forEach((peer) => this.#send(peer, false, !leaving));
    this.#links.listInbound().forEach((peer) => this.#send(peer, true, !leaving));
  }

  #send(peer: string, inbound: boolean, returned: boolean): void {
    const { name: vm, incarnation } = this.#self;
    const value = create(LeavingSchema, { vm, incarnation, returned });
    if (inbound) {
      this.#outbox.sendReply(peer, { case: 'leaving', value });
      return;
    }
    this.#outbox.sendRequest(peer, { case: 'leaving', value });
  }
}
