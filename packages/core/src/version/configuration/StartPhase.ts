import type { Membership } from '../../process/membership/index.js';
import type { ConfigurationCommand } from './ConfigurationCommand.js';
import { createManifestRequest } from './configurationFrames.js';
import type { PeerChooser } from './PeerChooser.js';

/** Time to wait for the answers of peers and of the configuration service, which normally take milliseconds. */
const ANSWER_TIMEOUT_MS = 1_000;

/** Time to wait when no peer answers at all. Other peers are asked meanwhile, before the service alone decides. */
const SILENT_PEERS_TIMEOUT_MS = 5_000;

/**
 * Time to wait for the platform's list of VMs, without which no peer can be asked, before the service alone decides.
 */
const LIST_TIMEOUT_MS = 5_000;

/**
 * Time to wait for the sections of a version that a peer has announced, so that the node does not start with an older
 * one.
 */
const FETCH_TIMEOUT_MS = 15_000;

/** Failure domains whose peers are asked: three, so that one that is partitioned or stale does not decide alone. */
const DOMAINS = 3;
const PEERS_PER_DOMAIN = 2;

/** Interval at which other peers are asked during the start. */
const REQUEST_INTERVAL_MS = 2_000;

/**
 * Decides when a starting node may serve: it must have a version, and the asked peers and the configuration service
 * must have answered, or the time-out for their answers must have passed. The node then serves with the newest version
 * that it has found.
 */
export class StartPhase {
  readonly #membership: Membership;

  readonly #peers: PeerChooser;

  readonly #startedMs: number;

  readonly #unanswered = new Set<string>();

  #askedPeersMs: number | undefined;

  #askedMs: number | undefined;

  #peerAnswered = false;

  #serviceAnswered = false;

  #done = false;

  /** @param options - List of VMs, choice of peers, and monotonic time of the start in milliseconds. */
  constructor(options: { membership: Membership; peers: PeerChooser; startedMs: number }) {
    this.#membership = options.membership;
    this.#peers = options.peers;
    this.#startedMs = options.startedMs;
  }

  /** Returns whether the node may serve. */
  isDone(): boolean {
    return this.#done;
  }

  /** Records an answer of the configuration service. */
  recordServiceAnswer(): void {
    this.#serviceAnswered = true;
  }

  /**
   * Records that a peer has sent its version.
   * @param peer - Name of the VM.
   */
  recordPeerAnswer(peer: string): void {
    this.#unanswered.delete(peer);
    this.#peerAnswered = true;
  }

  /**
   * Records that a peer that was asked cannot answer.
   * @param peer - Name of the VM.
   */
  recordFailure(peer: string): void {
    this.#unanswered.delete(peer);
  }

  /**
   * Asks peers until enough have answered, then ends the phase.
   * @param state - Whether a version is active, and whether a newer one is being fetched.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(
    state: { readonly hasVersion: boolean; readonly fetching: boolean },
    nowMs: number,
  ): readonly ConfigurationCommand[] {
    if (this.#done) {
      return [];
    }
    // Peers are asked first: a list that arrives late must not end the phase before its VMs are asked.
    const asked = this.#requestVersionsWhenDue(nowMs);
    this.#done = state.hasVersion && this.#hasEnoughAnswers(state.fetching, nowMs);
    return asked;
  }

  #hasEnoughAnswers(fetching: boolean, nowMs: number): boolean {
    if (fetching) {
      return nowMs - this.#startedMs >= FETCH_TIMEOUT_MS;
    }
    if (this.#askedPeersMs === undefined) {
      return nowMs - this.#startedMs >= (this.#isListed() ? ANSWER_TIMEOUT_MS : LIST_TIMEOUT_MS);
    }
    const answered = this.#peerAnswered && this.#serviceAnswered && this.#unanswered.size === 0;
    const limitMs = this.#peerAnswered ? ANSWER_TIMEOUT_MS : SILENT_PEERS_TIMEOUT_MS;
    return answered || nowMs - this.#askedPeersMs >= limitMs;
  }

  #isListed(): boolean {
    return this.#membership.listFailureDomains().length > 0;
  }

  #requestVersionsWhenDue(nowMs: number): readonly ConfigurationCommand[] {
    const hasFirstPeers = this.#askedPeersMs === undefined && this.#peers.choose(1).length > 0;
    if (
      !hasFirstPeers &&
      this.#askedMs !== undefined &&
      nowMs - this.#askedMs < REQUEST_INTERVAL_MS
    ) {
      return [];
    }
    const first = this.#askedMs === undefined;
    this.#askedMs = nowMs;
    const peers = this.#peers.chooseAcrossDomains(DOMAINS, PEERS_PER_DOMAIN);
    if (peers.length > 0) {
      this.#askedPeersMs ??= nowMs;
      peers.forEach((peer) => this.#unanswered.add(peer));
    }
    const requests = peers.map((peer): ConfigurationCommand => ({
      kind: 'sendRequest',
      peer,
      frame: createManifestRequest(),
    }));
    return first ? [{ kind: 'readService' }, ...requests] : requests;
  }
}
