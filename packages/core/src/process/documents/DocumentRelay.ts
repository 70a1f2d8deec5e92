import { create } from '@bufbuild/protobuf';
import { DocumentRequestSchema, DocumentSchema, type DocumentRequest } from '@tanagerpond/wire';
import type { Outbox } from '../node/Outbox.js';
import type { RandomSource } from '../time/index.js';
import type { PublishedDocument } from './PublishedDocument.js';

/** Time without the source after which peers are asked, in milliseconds; above one slow answer of a source. */
const SOURCE_SILENCE_MS = 500;

/** Time between two requests to peers while the source is silent, in milliseconds. */
const REQUEST_MS = 300;

/**
 * Time between two requests to peers while the source answers, in milliseconds. A connection to the source that went
 * silent shows only after its longest wait; a withdrawn key must be known before.
 */
const COMPARE_MS = 500;

/** Peers that hear of a document that this node has read. */
const ANNOUNCED_PEERS = 3;

/** Time that a node waits for its own source after it heard of a newer document, in milliseconds. */
const PATIENCE_MS = 150;

/** Different documents that are kept; a source publishes two. */
const DOCUMENTS = 16;

/** What the relay works with. */
export interface DocumentRelayOptions {
  readonly outbox: Outbox;
  readonly random: RandomSource;
  /** Peers that may be asked, linked ones if there are any. */
  readonly listPeers: () => readonly string[];
}

/**
 * Spreads published documents between peers while some of them cannot reach the source. Every node compares revisions with
 * one random peer now and then, more often while its source is silent. A node that has a new document tells a few peers
 * its revision, and a peer whose own source does not bring it soon, as on a connection that went silent, asks for it.
 */
export class DocumentRelay {
  readonly #parts: DocumentRelayOptions;

  readonly #documents = new Map<string, PublishedDocument>();

  #isReachable = true;

  #changedMs: number;

  #requestedMs = Number.NEGATIVE_INFINITY;

  /** Revisions that peers hold and this node lacks, and when it heard of them first. */
  readonly #heard = new Map<string, { peer: string; revision: number; sinceMs: number }>();

  /**
   * @param parts - Where requests go and who may be asked.
   * @param startedMs - Monotonic time of the start, in milliseconds.
   */
  constructor(parts: DocumentRelayOptions, startedMs: number) {
    this.#parts = parts;
    this.#changedMs = startedMs;
  }

  /**
   * Keeps a document that the node's own source published.
   * @param document - The document.
   */
  recordRead(document: PublishedDocument): void {
    if (this.#keep(document)) {
      this.#announce();
    }
  }

  /**
   * Records whether the node's own source answers.
   * @param reachable - True after an answer, false after a failure.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordSource(reachable: boolean, nowMs: number): void {
    if (reachable !== this.#isReachable) {
      this.#isReachable = reachable;
      this.#changedMs = nowMs;
    }
  }

  /**
   * Answers a peer with the documents that it lacks or holds in an older revision.
   * @param peer - VM that asks.
   * @param request - What it holds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  answer(peer: string, request: DocumentRequest, nowMs: number): void {
    const held = new Map(request.held.map(({ name, revision }) => [name, revision]));
    held.forEach((revision, name) => this.#hear(peer, name, revision, nowMs));
    [...this.#documents.values()]
      .filter(({ name, revision }) => revision > (held.get(name) ?? Number.NEGATIVE_INFINITY))
      .forEach((document) => {
        const value = create(DocumentSchema, document);
        this.#parts.outbox.sendReply(peer, { case: 'document', value });
      });
  }

  /**
   * Takes a document of a peer.
   * @param document - The document.
   */
  receive({ name, revision, content }: PublishedDocument): void {
    const document = { name, revision, content };
    if (this.#keep(document)) {
      this.#parts.outbox.add({ kind: 'documentReceived', document });
      this.#announce();
    }
  }

  /**
   * Asks a peer when the source is silent; to be called on every tick.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    this.#requestHeard(nowMs);
    const isSilent = !this.#isReachable && nowMs - this.#changedMs >= SOURCE_SILENCE_MS;
    const pauseMs = isSilent ? REQUEST_MS : COMPARE_MS;
    const hasSource = this.#documents.size > 0 || !this.#isReachable;
    if (!hasSource || nowMs - this.#requestedMs < pauseMs) {
      return;
    }
    this.#requestedMs = nowMs;
    this.#pickPeers(1).forEach((peer) => this.#request(peer));
  }

  /** Shows what is held, for the state dump; `nowMs` is monotonic. */
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

  /** A request tells what this node holds, so that a peer that lacks it asks. */
  #announce(): void {
    this.#pickPeers(ANNOUNCED_PEERS).forEach((peer) => this.#request(peer));
  }

  #request(peer: string): void {
    const held = [...this.#documents.values()].map(({ name, revision }) => ({ name, revision }));
    const value = create(DocumentRequestSchema, { held });
    this.#parts.outbox.sendRequest(peer, { case: 'documentRequest', value });
  }

  #pickPeers(count: number): readonly string[] {
    const peers = [...this.#parts.listPeers()];
    return Array.from({ length: Math.min(count, peers.length) }, () => {
      const [peer] = peers.splice(Math.floor(this.#parts.random.next() * peers.length), 1);
      return peer;
    });
  }

  #hear(peer: string, name: string, revision: number, nowMs: number): void {
    const known = this.#readRevision(name);
    const heard = this.#heard.get(name);
    if (revision > known && revision > (heard?.revision ?? known) && this.#hasRoom(name)) {
      this.#heard.set(name, { peer, revision, sinceMs: heard?.sinceMs ?? nowMs });
    }
  }

  #requestHeard(nowMs: number): void {
    this.#heard.forEach(({ peer, revision, sinceMs }, name) => {
      if (revision <= this.#readRevision(name)) {
        this.#heard.delete(name);
      } else if (nowMs - sinceMs >= PATIENCE_MS) {
        this.#heard.delete(name);
        this.#request(peer);
      }
    });
  }

  #readRevision(name: string): number {
    return this.#documents.get(name)?.revision ?? Number.NEGATIVE_INFINITY;
  }

  #hasRoom(name: string): boolean {
    return this.#documents.has(name) || this.#documents.size < DOCUMENTS;
  }

  #keep(document: PublishedDocument): boolean {
    const isNew = document.revision > this.#readRevision(document.name);
    if (!isNew || !this.#hasRoom(document.name)) {
      return false;
    }
    this.#documents.set(document.name, document);
    return true;
  }
}
