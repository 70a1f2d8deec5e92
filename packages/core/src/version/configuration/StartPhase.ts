import type { Membership } from '../../process/membership/index.js';
import type { ConfigurationCommand } from './ConfigurationCommand.js';
import { createManifestRequest } from './configurationFrames.js';
import type { PeerChooser } from './PeerChooser.js';

/** Time for the answers of peers and of the service, which normally take milliseconds. */
const ANSWER_MS = 1_000;

/** Without the platform's list no peer can be asked; a start waits longer for it before the service alone decides. */
const LIST_MS = 5_000;

/** Time for the sections of a version that a peer has announced, so that the start does not go back behind it. */
const FETCH_MS = 15_000;

/** Three failure domains, so that one that is cut off or stale does not decide alone. */
const DOMAINS = 3;
const PEERS_PER_DOMAIN = 2;

/** A node that found no version asks again this often. */
const ASK_AGAIN_MS = 2_000;

/** Decides when a starting node has asked enough others to serve with the highest version that it found. */
export class StartPhase {
  readonly #membership: Membership;

  readonly #peers: PeerChooser;

  readonly #startedMs: number;

  readonly #unanswered = new Set<string>();

  #askedPeersMs: number | undefined;

  #askedMs: number | undefined;

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

  /**
   * Records an answer or a broken link of a peer, or an answer of the service.
   * @param source - Name of the VM or `service`.
   */
  recordAnswer(source: string): void {
    this.#unanswered.delete(source);
    this.#serviceAnswered ||= source === 'service';
  }

  /**
   * Asks peers, and again while there is no version, and ends the phase when enough is known.
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
    const waited = this.#askedPeersMs !== undefined || this.#isAnswerDue(nowMs);
    if (state.held && waited && this.#isEnough(state.fetching, nowMs)) {
      this.#done = true;
      return [];
    }
    return this.#askWhenDue(nowMs);
  }

  #isEnough(fetching: boolean, nowMs: number): boolean {
    if (fetching) {
      return nowMs - this.#startedMs >= FETCH_MS;
    }
    const answered = this.#unanswered.size === 0 && this.#serviceAnswered;
    return answered || this.#isAnswerDue(nowMs);
  }

  #isAnswerDue(nowMs: number): boolean {
    if (this.#askedPeersMs !== undefined) {
      return nowMs - this.#askedPeersMs >= ANSWER_MS;
    }
    const listed = this.#membership.listFailureDomains().length > 0;
    return nowMs - this.#startedMs >= (listed ? ANSWER_MS : LIST_MS);
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
