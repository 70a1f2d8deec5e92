import type { Membership } from '../../process/membership/index.js';
import type { ConfigurationCommand } from './ConfigurationCommand.js';
import { createManifestRequest } from './configurationFrames.js';
import type { PeerChooser } from './PeerChooser.js';

/** Time for the answers of peers and of the service, which normally take milliseconds. */
const ANSWER_MS = 1_000;

/** When no peer answers at all, others are asked before the service alone decides. */
const SILENT_PEERS_MS = 5_000;

/** Without the platform's list no peer can be asked; a start waits longer for it before the service alone decides. */
const LIST_MS = 5_000;

/** Time for the sections of a version that a peer has announced, so that the start does not go back behind it. */
const FETCH_MS = 15_000;

/** Three failure domains, so that one that is cut off or stale does not decide alone. */
const DOMAINS = 3;
const PEERS_PER_DOMAIN = 2;

/** Time after which other peers are asked while the phase lasts. */
const ASK_AGAIN_MS = 2_000;

/** Decides when a starting node has asked enough others to serve with the highest version that it found. */
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

  /** @param options - The list, the choice of peers and the time of the start. */
  constructor(options: { membership: Membership; peers: PeerChooser; startedMs: number }) {
    this.#membership = options.membership;
    this.#peers = options.peers;
    this.#startedMs = options.startedMs;
  }

  /** Tells whether the node may serve. */
  isDone(): boolean {
    return this.#done;
  }

  /** Records an answer of the configuration service. */
  recordServiceAnswer(): void {
    this.#serviceAnswered = true;
  }

  /**
   * Records that a peer told its version.
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
   * Asks peers until enough is known, then ends the phase.
   * @param state - Whether a version is held and whether a higher one is being fetched.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(
    state: { readonly held: boolean; readonly fetching: boolean },
    nowMs: number,
  ): readonly ConfigurationCommand[] {
    if (this.#done) {
      return [];
    }
    // Asking comes first: a list that arrives late must not end the phase before its peers are asked.
    const asked = this.#askWhenDue(nowMs);
    this.#done = state.held && this.#isEnough(state.fetching, nowMs);
    return asked;
  }

  #isEnough(fetching: boolean, nowMs: number): boolean {
    if (fetching) {
      return nowMs - this.#startedMs >= FETCH_MS;
    }
    if (this.#askedPeersMs === undefined) {
      return nowMs - this.#startedMs >= (this.#isListed() ? ANSWER_MS : LIST_MS);
    }
    const answered = this.#peerAnswered && this.#serviceAnswered && this.#unanswered.size === 0;
    const limitMs = this.#peerAnswered ? ANSWER_MS : SILENT_PEERS_MS;
    return answered || nowMs - this.#askedPeersMs >= limitMs;
  }

  #isListed(): boolean {
    return this.#membership.listFailureDomains().length > 0;
  }

  #askWhenDue(nowMs: number): readonly ConfigurationCommand[] {
    const soon = this.#askedPeersMs === undefined && this.#peers.choose(1).length > 0;
    if (!soon && this.#askedMs !== undefined && nowMs - this.#askedMs < ASK_AGAIN_MS) {
      return [];
    }
    const first = this.#askedMs === undefined;
    this.#askedMs = nowMs;
    const peers = this.#peers.chooseAcrossDomains(DOMAINS, PEERS_PER_DOMAIN);
    if (peers.length > 0) {
      this.#askedPeersMs ??= nowMs;
      peers.forEach((peer) => this.#unanswered.add(peer));
    }
    const asks = peers.map((peer): ConfigurationCommand => ({
      kind: 'sendRequest',
      peer,
      frame: createManifestRequest(),
    }));
    return first ? [{ kind: 'readService' }, ...asks] : asks;
  }
}
