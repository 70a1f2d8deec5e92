import { create } from '@bufbuild/protobuf';
import { DocumentRequestSchema, DocumentSchema, type DocumentRequest } from '@tanagerpond/wire';
import type { Outbox } from '../node/Outbox.js';
import type { RandomSource } from '../time/index.js';
import type { PublishedDocument } from './PublishedDocument.js';

/** Time without an answer of the source after which peers are asked more often; longer than one slow answer. */
const SOURCE_SILENCE_MS = 500;

/** Time between two requests to peers while the source does not answer. */
const SILENT_SOURCE_INTERVAL_MS = 300;

/**
 * Time between two requests to peers while the source answers. A stalled connection to the source is only detected
 * after the longest time that a request to the source may take, but a withdrawn key must be known earlier.
 */
const COMPARE_INTERVAL_MS = 500;

/** Number of peers that a new document is announced to. */
const ANNOUNCED_PEERS = 3;

/** Time that a node waits for its own source before it requests a newer document from the peer that has it. */
const SOURCE_WAIT_MS = 150;

/** Maximum number of stored documents; a source publishes two. */
const MAX_DOCUMENTS = 16;

/** Options of a document relay. */
export interface DocumentRelayOptions {
  readonly outbox: Outbox;
  readonly random: RandomSource;
  /** Lists the peers that may be asked: the linked ones, or other known ones if no peer is linked. */
  readonly listPeers: () => readonly string[];
}

/**
 * Distributes published documents between peers by gossip, for nodes that cannot reach the source. Every node
 * periodically compares revisions with one random peer, more often while its source does not answer. A node with a new
 * document announces its revision to a few peers. A peer whose own source does not deliver that revision soon, for
 * example because its connection has stalled, requests the document from the announcing node.
 */
export class DocumentRelay {
  readonly #options: DocumentRelayOptions;

  readonly #documents = new Map<string, PublishedDocument>();

  #isReachable = true;

  #changedMs: number;

  #requestedMs = Number.NEGATIVE_INFINITY;

  /** Newer revisions that peers have, by document, and when this node first learned of them. */
  readonly #newerRevisions = new Map<string, { peer: string; revision: number; sinceMs: number }>();

  /**
   * @param options - Outbox, random source and peers that may be asked.
   * @param startedMs - Monotonic time of the start, in milliseconds.
   */
  constructor(options: DocumentRelayOptions, startedMs: number) {
    this.#options = options;
    this.#changedMs = startedMs;
  }

  /**
   * Stores a document that the node's own source published, and announces it if it is new.
   * @param document - The document.
   */
  recordRead(document: PublishedDocument): void {
    if (this.#add(document)) {
      this.#announce();
    }
  }

  /**
   * Records whether the node's own source answers.
   * @param reachable - True after an answer, false after a failed request.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordSource(reachable: boolean, nowMs: number): void {
    if (reachable !== this.#isReachable) {
      this.#isReachable = reachable;
      this.#changedMs = nowMs;
    }
  }

  /**
   * Answers a peer with the documents that it lacks or has in an older revision, and records which newer revisions it
   * has.
   * @param peer - VM that sent the request.
   * @param request - Revisions that the peer has.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  answer(peer: string, request: DocumentRequest, nowMs: number): void {
    const held = new Map(request.held.map(({ name, revision }) => [name, revision]));
    held.forEach((revision, name) => this.#recordPeerRevision(peer, name, revision, nowMs));
    [...this.#documents.values()]
      .filter(({ name, revision }) => revision > (held.get(name) ?? Number.NEGATIVE_INFINITY))
      .forEach((document) => {
        const value = create(DocumentSchema, document);
        this.#options.outbox.sendReply(peer, { case: 'document', value });
      });
  }

  /**
   * Handles a document from a peer. A new one is stored, passed to the host and announced to other peers.
   * @param document - The document.
   */
  receive({ name, revision, content }: PublishedDocument): void {
    const document = { name, revision, content };
    if (this.#add(document)) {
      this.#options.outbox.add({ kind: 'documentReceived', document });
      this.#announce();
    }
  }

  /**
   * Requests newer revisions whose wait is over, and compares revisions with a peer when it is due. Call on every tick.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    this.#requestNewerRevisions(nowMs);
    const isSourceSilent = !this.#isReachable && nowMs - this.#changedMs >= SOURCE_SILENCE_MS;
    const intervalMs = isSourceSilent ? SILENT_SOURCE_INTERVAL_MS : COMPARE_INTERVAL_MS;
    const hasSource = this.#documents.size > 0 || !this.#isReachable;
    if (!hasSource || nowMs - this.#requestedMs < intervalMs) {
      return;
    }
    this.#requestedMs = nowMs;
    this.#pickPeers(1).forEach((peer) => this.#request(peer));
  }

  /**
   * Returns the state of the source and the stored documents, without their content, for the state dump.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  snapshot(nowMs: number): object {
    return {
      sourceReachable: this.#isReachable,
      sinceMs: nowMs - this.#changedMs,
      documents: [...this.#documents.values()].map(({ name, revision, content }) => ({
        name,
        revision,
        length: content.length,
      })),
    };
  }

  /**
   * Sends requests, which list the revisions that this node has, so that a peer with an older one requests the new one.
   */
  #announce(): void {
    this.#pickPeers(ANNOUNCED_PEERS).forEach((peer) => this.#request(peer));
  }

  #request(peer: string): void {
    const held = [...this.#documents.values()].map(({ name, revision }) => ({ name, revision }));
    const value = create(DocumentRequestSchema, { held });
    this.#options.outbox.sendRequest(peer, { case: 'documentRequest', value });
  }

  #pickPeers(count: number): readonly string[] {
    const peers = [...this.#options.listPeers()];
    return Array.from({ length: Math.min(count, peers.length) }, () => {
      const [peer] = peers.splice(Math.floor(this.#options.random.next() * peers.length), 1);
      return peer;
    });
  }

  #recordPeerRevision(peer: string, name: string, revision: number, nowMs: number): void {
    const known = this.#readRevision(name);
    const newer = this.#newerRevisions.get(name);
    if (revision > known && revision > (newer?.revision ?? known) && this.#hasRoom(name)) {
      this.#newerRevisions.set(name, { peer, revision, sinceMs: newer?.sinceMs ?? nowMs });
    }
  }

  #requestNewerRevisions(nowMs: number): void {
    this.#newerRevisions.forEach(({ peer, revision, sinceMs }, name) => {
      if (revision <= this.#readRevision(name)) {
        this.#newerRevisions.delete(name);
      } else if (nowMs - sinceMs >= SOURCE_WAIT_MS) {
        this.#newerRevisions.delete(name);
        this.#request(peer);
      }
    });
  }

  #readRevision(name: string): number {
    return this.#documents.get(name)?.revision ?? Number.NEGATIVE_INFINITY;
  }

  #hasRoom(name: string): boolean {
    return this.#documents.has(name) || this.#documents.size < MAX_DOCUMENTS;
  }

  #add(document: PublishedDocument): boolean {
    const isNew = document.revision > this.#readRevision(document.name);
    if (!isNew || !this.#hasRoom(document.name)) {
      return false;
    }
    this.#documents.set(document.name, document);
    return true;
  }
}
