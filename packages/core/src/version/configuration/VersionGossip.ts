import type { RandomSource } from '../../process/time/index.js';
import type { ConfigurationCommand } from './ConfigurationCommand.js';
import { createAnnouncement } from './configurationFrames.js';
import type { ActiveVersion } from './ActiveVersion.js';
import type { PeerChooser } from './PeerChooser.js';

/**
 * Peers to which a newly adopted version is announced. With 4, the announcements reach about 98% of the nodes;
 * anti-entropy reaches the rest.
 */
const ANNOUNCED_PEERS = 4;

/**
 * Anti-entropy takes place at random intervals of 2 s to 4 s. A node that no announcement has reached usually gets the
 * version within that time.
 */
const EXCHANGE_MIN_MS = 2_000;
const EXCHANGE_SPREAD_MS = 2_000;

/**
 * Decides to which peers this node announces its version, and when: by gossip of new versions and by periodic
 * anti-entropy.
 */
export class VersionGossip {
  readonly #peers: PeerChooser;

  readonly #random: RandomSource;

  #exchangeAtMs: number;

  /** @param options - Choice of peers, random source, and monotonic time of the start in milliseconds. */
  constructor(options: { peers: PeerChooser; random: RandomSource; startedMs: number }) {
    this.#peers = options.peers;
    this.#random = options.random;
    this.#exchangeAtMs = this.#scheduleExchange(options.startedMs);
  }

  /**
   * Announces a version that was just adopted to a few random peers.
   * @param active - Active version.
   * @param source - Peer that sent the version, to which it is not announced.
   */
  announceAdopted(active: ActiveVersion, source: string): readonly ConfigurationCommand[] {
    return announce(active, this.#peers.choose(ANNOUNCED_PEERS, source));
  }

  /**
   * Announces the active version to one random peer when anti-entropy is due. After a pause of the process it is due at
   * once; a peer that has a newer version answers with it.
   * @param active - Active version, if any.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(active: ActiveVersion | undefined, nowMs: number): readonly ConfigurationCommand[] {
    if (nowMs < this.#exchangeAtMs) {
      return [];
    }
    this.#exchangeAtMs = this.#scheduleExchange(nowMs);
    return active === undefined ? [] : announce(active, this.#peers.choose(1));
  }

  #scheduleExchange(nowMs: number): number {
    return nowMs + EXCHANGE_MIN_MS + this.#random.next() * EXCHANGE_SPREAD_MS;
  }
}

function announce(
  active: ActiveVersion,
  peers: readonly string[],
): readonly ConfigurationCommand[] {
  const frame = createAnnouncement(active);
  return peers.map((peer) => ({ kind: 'sendRequest', peer, frame }));
}
