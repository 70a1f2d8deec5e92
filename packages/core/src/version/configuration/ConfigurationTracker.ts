import {
  digestText,
  parseEnvelope,
  type BundleError,
  type Envelope,
  type Manifest,
} from '@tanagerpond/bundle';
import type { ManifestAnnouncement, SectionReply, SectionRequest } from '@tanagerpond/wire';
import { match } from 'ts-pattern';
import type { Membership, VmIdentity } from '../../process/membership/index.js';
import type { RandomSource } from '../../process/time/index.js';
import type { ConfigurationCommand, ConfigurationFrame } from './ConfigurationCommand.js';
import { createAnnouncement, createSectionReply } from './configurationFrames.js';
import { compareVersions } from './ActiveVersion.js';
import { PeerChooser } from './PeerChooser.js';
import { SectionFetch } from './SectionFetch.js';
import { ServiceReadScheduler } from './ServiceReadScheduler.js';
import { StartPhase } from './StartPhase.js';
import { VersionGossip } from './VersionGossip.js';
import { VersionStore } from './VersionStore.js';

/** Maximum number of sections that a request is answered with, as a bundle has four; further ones are ignored. */
const MAX_REQUESTED = 4;

/** Name of the configuration service as the source of a version, in place of the name of a VM. */
const SERVICE = 'service';

/**
 * Tracks the active version of the configuration: announces it to peers, and adopts newer versions from the
 * configuration service or any peer if a trusted key has signed them. It performs no I/O: its methods return the
 * commands that its node must carry out.
 */
export class ConfigurationTracker {
  readonly #store: VersionStore;

  readonly #gossip: VersionGossip;

  readonly #readScheduler: ServiceReadScheduler;

  readonly #start: StartPhase;

  #fetch: SectionFetch | undefined;

  #rejected = 0;

  #staleAnswers = 0;

  /**
   * @param options - `trustedKeys` are public signing keys in base64url, `startedMs` is the monotonic time of the
   * start.
   */
  constructor(options: {
    self: VmIdentity;
    membership: Membership;
    random: RandomSource;
    trustedKeys: readonly string[];
    startedMs: number;
  }) {
    const { membership, random, startedMs } = options;
    const peers = new PeerChooser(options);
    this.#store = new VersionStore(options.trustedKeys);
    this.#gossip = new VersionGossip({ peers, random, startedMs });
    this.#readScheduler = new ServiceReadScheduler(options);
    this.#start = new StartPhase({ membership, peers, startedMs });
  }

  /**
   * Handles an answer of the configuration service. An invalid one is rejected, and an older version than the active
   * one is ignored.
   * @param envelope - Envelope text stored in the configuration service.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  offerEnvelope(envelope: string, nowMs: number): readonly ConfigurationCommand[] {
    this.#start.recordServiceAnswer();
    return parseEnvelope(envelope).match({
      Ok: (parsed) => this.#handleEnvelope(parsed, nowMs),
      Err: (error) => this.#reject(SERVICE, error),
    });
  }

  /**
   * Handles a frame of a peer.
   * @param peer - Name of the VM.
   * @param frame - Frame for which `isConfigurationFrame` holds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receive(peer: string, frame: ConfigurationFrame, nowMs: number): readonly ConfigurationCommand[] {
    return match(frame.body)
      .with({ case: 'manifestAnnouncement' }, ({ value }) =>
        this.#handleAnnouncement(peer, value, nowMs),
      )
      .with({ case: 'manifestRequest' }, () => this.#answerVersion(peer))
      .with({ case: 'sectionRequest' }, ({ value }) => this.#answerSections(peer, value))
      .with({ case: 'sectionReply' }, ({ value }) => this.#handleSection(peer, value, nowMs))
      .exhaustive();
  }

  /**
   * Records that a link came up or broke. Sections that were requested over a broken link are requested from another
   * peer.
   * @param peer - Name of the VM.
   * @param up - Whether the link is usable.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordLink(peer: string, up: boolean, nowMs: number): readonly ConfigurationCommand[] {
    if (up) {
      return [];
    }
    this.#start.recordFailure(peer);
    return this.#fetch?.dropSource(peer, nowMs) ?? [];
  }

  /**
   * Carries out everything that is due at this time; called on every tick.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): readonly ConfigurationCommand[] {
    const { active } = this.#store;
    if (active === undefined) {
      this.#readScheduler.scheduleRead(nowMs);
    }
    const state = { hasVersion: active !== undefined, fetching: this.#fetch !== undefined };
    return [
      ...this.#start.advance(state, nowMs),
      ...this.#advanceFetch(nowMs),
      ...this.#gossip.advance(active, nowMs),
      ...this.#readScheduler.advance(nowMs),
    ];
  }

  /** Returns whether the node may serve with the active version, because the start phase is over. */
  isReady(): boolean {
    return this.#start.isDone();
  }

  /** Returns the active version and the counters, for the state dump. */
  snapshot(nowMs: number): object {
    return {
      ...this.#store.snapshot(),
      ready: this.isReady(),
      rejected: this.#rejected,
      staleAnswers: this.#staleAnswers,
      fetch: this.#fetch?.snapshot(nowMs) ?? null,
      service: this.#readScheduler.snapshot(nowMs),
    };
  }

  #handleEnvelope(envelope: Envelope, nowMs: number): readonly ConfigurationCommand[] {
    const bytes = Buffer.from(envelope.manifest);
    const digest = digestText(bytes);
    if (this.#store.isKnown(digest)) {
      this.#readScheduler.recordContact(nowMs);
      return [];
    }
    const verified = this.#store.verify(bytes, Buffer.from(envelope.signature, 'base64'));
    if (verified.isErr) {
      return this.#reject(SERVICE, verified.error);
    }
    this.#readScheduler.recordContact(nowMs);
    if (this.#store.checkNewer(verified.value.version, digest)) {
      return this.#adopt(envelope, verified.value, SERVICE);
    }
    this.#staleAnswers += 1;
    return [];
  }

  #handleAnnouncement(
    peer: string,
    announcement: ManifestAnnouncement,
    nowMs: number,
  ): readonly ConfigurationCommand[] {
    this.#start.recordPeerAnswer(peer);
    const { version, manifest: bytes, signature } = announcement;
    const digest = digestText(bytes);
    if (this.#store.isKnown(digest)) {
      this.#readScheduler.recordContact(nowMs);
      return [];
    }
    if (digest === this.#fetch?.digest) {
      this.#readScheduler.recordContact(nowMs);
      return this.#fetch.addSource(peer, nowMs);
    }
    if (version < (this.#store.active?.version ?? 0)) {
      return this.#answerVersion(peer);
    }
    const verified = this.#store.verify(bytes, signature);
    if (verified.isErr) {
      return this.#reject(peer, verified.error);
    }
    if (verified.value.version !== version) {
      const expected = 'an announcement with the version of its signed manifest';
      return this.#reject(peer, { kind: 'manifestMalformed', expected });
    }
    this.#readScheduler.recordContact(nowMs);
    return this.#store.checkNewer(version, digest)
      ? this.#beginFetch(peer, announcement, verified.value, nowMs)
      : this.#answerVersion(peer);
  }

  #beginFetch(
    peer: string,
    announcement: ManifestAnnouncement,
    manifest: Manifest,
    nowMs: number,
  ): readonly ConfigurationCommand[] {
    const fetch = new SectionFetch({
      manifest,
      bytes: announcement.manifest,
      signature: announcement.signature,
      active: this.#store.active,
      nowMs,
    });
    if (this.#fetch !== undefined && compareVersions(this.#fetch, fetch) > 0) {
      return [];
    }
    this.#fetch = fetch;
    const asked = fetch.addSource(peer, nowMs);
    return fetch.isComplete() ? this.#finishFetch(fetch, peer) : asked;
  }

  #handleSection(
    peer: string,
    reply: SectionReply,
    nowMs: number,
  ): readonly ConfigurationCommand[] {
    const fetch = this.#fetch;
    if (fetch === undefined || !fetch.addSection(reply, nowMs)) {
      return [];
    }
    return fetch.isComplete() ? this.#finishFetch(fetch, peer) : [];
  }

  #finishFetch(fetch: SectionFetch, source: string): readonly ConfigurationCommand[] {
    this.#fetch = undefined;
    return this.#adopt(fetch.buildEnvelope(), fetch.manifest, source);
  }

  #adopt(envelope: Envelope, manifest: Manifest, source: string): readonly ConfigurationCommand[] {
    const adopted = this.#store.tryAdopt(envelope, manifest);
    const { active } = this.#store;
    if (adopted.isErr) {
      return this.#reject(source, adopted.error);
    }
    if (active === undefined) {
      return [];
    }
    if (this.#fetch !== undefined && compareVersions(this.#fetch, active) <= 0) {
      this.#fetch = undefined;
    }
    // A version that a starting node got from peers is not announced, because the other nodes have it already.
    const pushed =
      this.isReady() || source === SERVICE ? this.#gossip.announceAdopted(active, source) : [];
    return [{ kind: 'adopt', bundle: adopted.value }, ...pushed];
  }

  #answerVersion(peer: string): readonly ConfigurationCommand[] {
    const { active } = this.#store;
    return active === undefined
      ? []
      : [{ kind: 'sendReply', peer, frame: createAnnouncement(active) }];
  }

  #answerSections(peer: string, request: SectionRequest): readonly ConfigurationCommand[] {
    const wanted = request.digests.slice(0, MAX_REQUESTED);
    const replies = wanted.flatMap((digest, index): readonly ConfigurationCommand[] => {
      const content = this.#findSection(digest);
      if (content === undefined) {
        return [];
      }
      const baseDigest = request.bases[index] ?? new Uint8Array();
      const baseContent = this.#findSection(baseDigest);
      const base =
        baseContent === undefined ? undefined : { digest: baseDigest, content: baseContent };
      return [{ kind: 'sendReply', peer, frame: createSectionReply(digest, content, base) }];
    });
    // If a section is missing, a newer version has replaced the one that the peer is fetching; announce the newer one.
    return replies.length === wanted.length ? replies : [...replies, ...this.#answerVersion(peer)];
  }

  #findSection(digest: Uint8Array): string | undefined {
    return this.#store.findSection(Buffer.from(digest).toString('hex'));
  }

  #advanceFetch(nowMs: number): readonly ConfigurationCommand[] {
    if (this.#fetch?.isStalled(nowMs)) {
      this.#fetch = undefined;
    }
    return this.#fetch?.advance(nowMs) ?? [];
  }

  #reject(source: string, error: BundleError): readonly ConfigurationCommand[] {
    this.#rejected += 1;
    return [{ kind: 'rejected', source, error }];
  }
}
