import type { RandomSource } from '../../process/time/index.js';
import type { ConfigurationCommand } from './ConfigurationCommand.js';
import { createAnnouncement } from './configurationFrames.js';
import type { ActiveVersion } from './ActiveVersion.js';
import type { PeerChooser } from './PeerChooser.js';

/** Peers told of a new version. A push to 4 reaches about 98% of the nodes; anti-entropy reaches the rest. */
const PUSH_PEERS = 4;

/** Anti-entropy comes every 2 s to 4 s, so a node that the push missed usually learns within 4 s. */
const EXCHANGE_MIN_MS = 2_000;
const EXCHANGE_SPREAD_MS = 2_000;

/** Decides whom this node tells of its version, and when. */
export class VersionGossip {
  readonly #peers: PeerChooser;

  readonly #random: RandomSource;

  #exchangeAtMs: number;

  /** @param options - The choice of peers, the source of randomness and the time of the start. */
  constructor(options: { peers: PeerChooser; random: RandomSource; startedMs: number }) {
    this.#peers = options.peers;
    this.#random = options.random;
    this.#exchangeAtMs = this.#drawExchange(options.startedMs);
  }

  /**
   * Announces a version that was just adopted to a few peers.
   * @param held - Version in force.
   * @param source - Peer that it came from, which needs no announcement.
   */
  announceAdopted(held: ActiveVersion, source: string): readonly ConfigurationCommand[] {
    return announce(held, this.#peers.choose(PUSH_PEERS, source));
  }

  /**
   * Tells one random peer the version in force when that is due. After a pause of the process it is due at once, and a
   * peer that is ahead answers with its version.
   * @param held - Version in force, if any.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(held: ActiveVersion | undefined, nowMs: number): readonly ConfigurationCommand[] {
    if (nowMs < this.#exchangeAtMs) {
      return [];
    }
    this.#exchangeAtMs = this.#drawExchange(nowMs);
    return held === undefined ? [] : announce(held, this.#peers.choose(1));
  }

  #drawExchange(nowMs: number): number {
    return nowMs + EXCHANGE_MIN_MS + this.#random.next() * EXCHANGE_SPREAD_MS;
  }
}

function announce(held: ActiveVersion, peers: readonly string[]): readonly ConfigurationCommand[] {
  const frame = createAnnouncement(held);
  return peers.map((peer) => ({ kind: 'sendRequest', peer, frame }));
}
