import { create } from '@bufbuild/protobuf';
import { DocumentRequestSchema, type Document, type DocumentRequest } from '@tanagerpond/wire';
import type { Outbox } from '../node/Outbox.js';
import type { RandomSource } from '../time/index.js';
import { decodeDocument, encodeDocument } from './documentFrames.js';
import type { DocumentUpdate } from './DocumentUpdate.js';
import { KeyedDocument } from './KeyedDocument.js';
import { isLater, type SourcePosition } from './SourcePosition.js';
import type { SourceWatchScheduler } from './SourceWatchScheduler.js';

/** Time without an answer of the source after which peers are asked more often; longer than one slow answer. */
const SOURCE_SILENCE_MS = 500;

/** Time between two requests to peers while the source does not answer. */
const SILENT_SOURCE_INTERVAL_MS = 300;

/**
 * Time between two requests to peers while the source answers. The own connections to the source may have gone silent
 * without notice, and a withdrawn key must be known earlier.
 */
const COMPARE_INTERVAL_MS = 500;

/** Number of peers that a new revision is announced to. */
const ANNOUNCED_PEERS = 3;

/** Time that a node that watches the source waits for it before it requests a newer revision from a peer. */
const SOURCE_WAIT_MS = 150;

/** Time that a node waits for requested changes before it requests them from another peer, in milliseconds. */
const REQUEST_TIMEOUT_MS = 250;

/** Maximum number of stored documents; a source publishes two. */
const MAX_DOCUMENTS = 16;

/** Position before the first update. */
const NO_POSITION: SourcePosition = { era: 0, revision: Number.NEGATIVE_INFINITY };

/** Options of a document relay. */
export interface DocumentRelayOptions {
  readonly outbox: Outbox;
  readonly random: RandomSource;
  /** Lists the peers that may be asked: the linked ones, or other known ones if no peer is linked. */
  readonly listPeers: () => readonly string[];
  /** Decides whether this node watches the source. */
  readonly scheduler: SourceWatchScheduler;
}

/**
 * Distributes published documents between peers by gossip, for nodes that do not watch the source or cannot reach it.
 * Every node periodically compares revisions with one random peer, more often while its source does not answer. A node
 * with a new revision announces it to a few peers. A peer requests the changes from the announcing node, unless its own
 * source delivers them soon.
 */
export class DocumentRelay {
  readonly #options: DocumentRelayOptions;

  readonly #documents = new Map<string, KeyedDocument>();

  #isReachable = true;

  #changedMs: number;

  #requestedMs = Number.NEGATIVE_INFINITY;

  /** Later positions that peers have, by document, and when this node first learned of them. */
  readonly #laterPositions = new Map<
    string,
    { peer: string; position: SourcePosition; sinceMs: number }
  >();

  /** Time of the last request for a newer revision, by document. */
  readonly #fetchedMs = new Map<string, number>();

  /**
   * @param options - Outbox, random source, scheduler and peers that may be asked.
   * @param startedMs - Monotonic time of the start, in milliseconds.
   */
  constructor(options: DocumentRelayOptions, startedMs: number) {
    this.#options = options;
    this.#changedMs = startedMs;
  }

  /**
   * Merges what the node's own source published, and announces it if it is new.
   * @param update - Changes, or all items.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordRead(update: DocumentUpdate, nowMs: number): void {
    if (this.#merge(update)) {
      this.#announce(nowMs);
    }
  }

  /**
   * Records whether the node's own source answers.
   * @param reachable - True after an answer, false after a failed request.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordSource(reachable: boolean, nowMs: number): void {
    this.#options.scheduler.recordSource(reachable);
    if (reachable !== this.#isReachable) {
      this.#isReachable = reachable;
      this.#changedMs = nowMs;
    }
  }

  /**
   * Records that the node's own source has told the state of all documents.
   * @param asOfMs - Monotonic time from which that state is, in milliseconds.
   */
  recordConfirmed(asOfMs: number): void {
    this.#options.scheduler.recordConfirmed(asOfMs);
  }

  /**
   * Answers a peer with the changes that it lacks, and records which newer revisions it has.
   * @param peer - VM that sent the request.
   * @param request - Positions of the peer's documents, and their age, which does not count when it is of an earlier era.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  answer(peer: string, request: DocumentRequest, nowMs: number): void {
    const held = new Map<string, SourcePosition>(request.held.map((one) => [one.name, one]));
    if (![...held].some(([name, { era }]) => era < this.#readPosition(name).era)) {
      this.#options.scheduler.recordPeerAge(request.ageMs, nowMs);
    }
    held.forEach((position, name) => this.#recordPeerPosition(peer, name, position, nowMs));
    this.#documents.forEach((document, name) => {
      const position = held.get(name);
      if (position === undefined || isLater(document, position)) {
        const value = encodeDocument(document.createUpdate(name, position));
        this.#options.outbox.sendReply(peer, { case: 'document', value });
      }
    });
    this.#requestLaterPositions(nowMs);
  }

  /**
   * Handles changes from a peer. New ones are merged, passed to the host and announced to other peers.
   * @param frame - Frame of the peer.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receive(frame: Document, nowMs: number): void {
    const update = decodeDocument(frame);
    if (this.#merge(update)) {
      this.#options.outbox.add({ kind: 'documentReceived', update });
      this.#announce(nowMs);
    }
  }

  /**
   * Decides whether to watch the source, requests newer revisions whose wait is over, and compares revisions with a peer
   * when it is due. Call on every tick.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    const decision = this.#options.scheduler.advance(nowMs);
    if (decision !== undefined) {
      this.#options.outbox.add({ kind: 'watchService', ...decision });
    }
    if (this.#options.scheduler.isOverdue(nowMs)) {
      this.#options.outbox.add({ kind: 'renewWatch' });
    }
    this.#requestLaterPositions(nowMs);
    const isMissed = this.#options.scheduler.isWatching && !this.#isReachable;
    const isSourceSilent = isMissed && nowMs - this.#changedMs >= SOURCE_SILENCE_MS;
    const intervalMs = isSourceSilent ? SILENT_SOURCE_INTERVAL_MS : COMPARE_INTERVAL_MS;
    const hasSource = this.#documents.size > 0 || !this.#isReachable;
    if (!hasSource || nowMs - this.#requestedMs < intervalMs) {
      return;
    }
    this.#requestedMs = nowMs;
    this.#pickPeers(1).forEach((peer) => this.#request(peer, nowMs));
  }

  /**
   * Returns the state of the source and the stored documents, without their content, for the state dump.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  snapshot(nowMs: number): object {
    const { scheduler } = this.#options;
    return {
      sourceReachable: this.#isReachable,
      sinceMs: nowMs - this.#changedMs,
      watching: scheduler.isWatching,
      ageMs: scheduler.measureAge(nowMs),
      documents: [...this.#documents].map(([name, { era, revision, size }]) => ({
        name,
        era,
        revision,
        items: size,
      })),
    };
  }

  /**
   * Sends requests, which list the revisions that this node has, so that a peer with an older one requests the changes.
   */
  #announce(nowMs: number): void {
    this.#pickPeers(ANNOUNCED_PEERS).forEach((peer) => this.#request(peer, nowMs));
  }

  #request(peer: string, nowMs: number): void {
    const held = [...this.#documents].map(([name, { era, revision }]) => ({ name, era, revision }));
    const ageMs = this.#options.scheduler.measureAge(nowMs);
    const value = create(DocumentRequestSchema, { held, ageMs });
    this.#options.outbox.sendRequest(peer, { case: 'documentRequest', value });
  }

  #pickPeers(count: number): readonly string[] {
    const peers = [...this.#options.listPeers()];
    return Array.from({ length: Math.min(count, peers.length) }, () => {
      const [peer] = peers.splice(Math.floor(this.#options.random.next() * peers.length), 1);
      return peer;
    });
  }

  #recordPeerPosition(peer: string, name: string, position: SourcePosition, nowMs: number): void {
    const known = this.#laterPositions.get(name);
    const latest = known?.position ?? this.#readPosition(name);
    const isNew = isLater(position, this.#readPosition(name)) && isLater(position, latest);
    if (isNew && this.#hasRoom(name)) {
      this.#laterPositions.set(name, { peer, position, sinceMs: known?.sinceMs ?? nowMs });
    }
  }

  #requestLaterPositions(nowMs: number): void {
    const waitMs = this.#options.scheduler.isWatching ? SOURCE_WAIT_MS : 0;
    this.#laterPositions.forEach(({ peer, position, sinceMs }, name) => {
      const fetchedMs = this.#fetchedMs.get(name) ?? Number.NEGATIVE_INFINITY;
      if (!isLater(position, this.#readPosition(name))) {
        this.#laterPositions.delete(name);
      } else if (nowMs - sinceMs >= waitMs && nowMs - fetchedMs >= REQUEST_TIMEOUT_MS) {
        this.#laterPositions.delete(name);
        this.#fetchedMs.set(name, nowMs);
        this.#request(peer, nowMs);
      }
    });
  }

  #readPosition(name: string): SourcePosition {
    return this.#documents.get(name) ?? NO_POSITION;
  }

  #hasRoom(name: string): boolean {
    return this.#documents.has(name) || this.#documents.size < MAX_DOCUMENTS;
  }

  /** Merges an update, and returns whether the document has a later position by it. */
  #merge(update: DocumentUpdate): boolean {
    if (!this.#hasRoom(update.name)) {
      return false;
    }
    const document = this.#documents.get(update.name) ?? new KeyedDocument();
    const { era, revision } = document;
    if (document.apply(update) === undefined) {
      return false;
    }
    this.#documents.set(update.name, document);
    this.#fetchedMs.delete(update.name);
    return isLater(document, { era, revision });
  }
}
