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

/** A bundle has four sections; a request for more is cut off. */
const MAX_REQUESTED = 4;

/** Source of what the configuration service answers; no VM has this name in the commands. */
const SERVICE = 'service';

/** Keeps the configuration version in force, spreads it to peers and takes newer ones from anyone who proves them. */
export class ConfigurationTracker {
  readonly #store: VersionStore;

  readonly #spread: VersionGossip;

  readonly #reading: ServiceReadScheduler;

  readonly #start: StartPhase;

  #fetch: SectionFetch | undefined;

  #rejected = 0;

  #staleAnswers = 0;

  /** @param options - `trustedKeys` are public signing keys, `startedMs` is the monotonic time of the start. */
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
    this.#spread = new VersionGossip({ peers, random, startedMs });
    this.#reading = new ServiceReadScheduler(options);
    this.#start = new StartPhase({ membership, peers, startedMs });
  }

  /**
   * Takes an answer of the configuration service; a stale one changes nothing.
   * @param envelope - Value of the configuration service.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  offerEnvelope(envelope: string, nowMs: number): readonly ConfigurationCommand[] {
    this.#start.recordServiceAnswer();
    return parseEnvelope(envelope).match({
      Ok: (parsed) => this.#takeEnvelope(parsed, nowMs),
      Err: (error) => this.#reject(SERVICE, error),
    });
  }

  /**
   * Takes a frame of a peer.
   * @param peer - Name of the VM.
   * @param frame - Frame for which `isConfigurationFrame` holds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receive(peer: string, frame: ConfigurationFrame, nowMs: number): readonly ConfigurationCommand[] {
    return match(frame.body)
      .with({ case: 'manifestAnnouncement' }, ({ value }) =>
        this.#takeAnnouncement(peer, value, nowMs),
      )
      .with({ case: 'manifestRequest' }, () => this.#answerVersion(peer))
      .with({ case: 'sectionRequest' }, ({ value }) => this.#answerSections(peer, value))
      .with({ case: 'sectionReply' }, ({ value }) => this.#takeSection(peer, value, nowMs))
      .exhaustive();
  }

  /**
   * Records that a link came up or broke; what was asked on a broken link is asked elsewhere.
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
   * Does what is due; call it on every tick.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): readonly ConfigurationCommand[] {
    const { active: held } = this.#store;
    if (held === undefined) {
      this.#reading.scheduleRead(nowMs);
    }
    const state = { held: held !== undefined, fetching: this.#fetch !== undefined };
    return [
      ...this.#start.advance(state, nowMs),
      ...this.#advanceFetch(nowMs),
      ...this.#spread.advance(held, nowMs),
      ...this.#reading.advance(nowMs),
    ];
  }

  /** Tells whether the node has asked enough others to serve with the version in force. */
  isReady(): boolean {
    return this.#start.isDone();
  }

  /** Shows the version in force and the counters for the state dump. */
  snapshot(nowMs: number): object {
    return {
      ...this.#store.snapshot(),
      ready: this.isReady(),
      rejected: this.#rejected,
      staleAnswers: this.#staleAnswers,
      fetch: this.#fetch?.snapshot(nowMs) ?? null,
      service: this.#reading.snapshot(nowMs),
    };
  }

  #takeEnvelope(envelope: Envelope, nowMs: number): readonly ConfigurationCommand[] {
    const bytes = Buffer.from(envelope.manifest);
    const digest = digestText(bytes);
    if (this.#store.isKnown(digest)) {
      this.#reading.recordContact(nowMs);
      return [];
    }
    const verified = this.#store.verify(bytes, Buffer.from(envelope.signature, 'base64'));
    if (verified.isErr) {
      return this.#reject(SERVICE, verified.error);
    }
    this.#reading.recordContact(nowMs);
    if (this.#store.checkNewer(verified.value.version, digest)) {
      return this.#adopt(envelope, verified.value, SERVICE);
    }
    this.#staleAnswers += 1;
    return [];
  }

  #takeAnnouncement(
    peer: string,
    announcement: ManifestAnnouncement,
    nowMs: number,
  ): readonly ConfigurationCommand[] {
    this.#start.recordPeerAnswer(peer);
    const { version, manifest: bytes, signature } = announcement;
    const digest = digestText(bytes);
    if (this.#store.isKnown(digest)) {
      this.#reading.recordContact(nowMs);
      return [];
    }
    if (digest === this.#fetch?.digest) {
      this.#reading.recordContact(nowMs);
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
    this.#reading.recordContact(nowMs);
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

  #takeSection(peer: string, reply: SectionReply, nowMs: number): readonly ConfigurationCommand[] {
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
    const { active: held } = this.#store;
    if (adopted.isErr) {
      return this.#reject(source, adopted.error);
    }
    if (held === undefined) {
      return [];
    }
    if (this.#fetch !== undefined && compareVersions(this.#fetch, held) <= 0) {
      this.#fetch = undefined;
    }
    // What a starting node learns from peers, the others know already.
    const pushed =
      this.isReady() || source === SERVICE ? this.#spread.announceAdopted(held, source) : [];
    return [{ kind: 'adopt', bundle: adopted.value }, ...pushed];
  }

  #answerVersion(peer: string): readonly ConfigurationCommand[] {
    const { active: held } = this.#store;
    return held === undefined ? [] : [{ kind: 'sendReply', peer, frame: createAnnouncement(held) }];
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
    // A missing section means that a newer version has replaced the one that the peer is fetching.
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
