import { digestText, SECTION_FILES, type Envelope, type Manifest } from '@tanagerpond/bundle';
import type { SectionReply } from '@tanagerpond/wire';
import type { ConfigurationCommand } from './ConfigurationCommand.js';
import { createSectionRequest, type WantedSection } from './configurationFrames.js';
import type { ActiveVersion, VersionRank } from './ActiveVersion.js';
import { applyPatch } from './sectionPatch.js';

/**
 * Time after which the next source is asked. A peer that is a few milliseconds away answers well within it, even under
 * load.
 */
const ANSWER_TIMEOUT_MS = 1_000;

/** Time without a new section after which the fetch is abandoned; the next announcement starts another one. */
const STALL_TIMEOUT_MS = 10_000;

/** Maximum number of peers that are kept as sources of one version. */
const MAX_SOURCES = 8;

export interface FetchOptions {
  readonly manifest: Manifest;
  readonly bytes: Uint8Array;
  readonly signature: Uint8Array;
  /** Active version, whose unchanged sections are reused. */
  readonly active: ActiveVersion | undefined;
  readonly nowMs: number;
}

/**
 * Fetches the missing sections of one version, whose manifest is already verified, from the peers that have announced
 * it.
 */
export class SectionFetch implements VersionRank {
  readonly version: number;

  readonly digest: string;

  /** Verified manifest of the version. */
  readonly manifest: Manifest;

  readonly #options: FetchOptions;

  readonly #collected = new Map<string, string>();

  readonly #sources: string[] = [];

  #asked: string | undefined;

  #askedMs: number;

  #progressMs: number;

  /** @param options - Verified manifest and the active version. */
  constructor(options: FetchOptions) {
    this.version = options.manifest.version;
    this.digest = digestText(options.bytes);
    this.manifest = options.manifest;
    this.#options = options;
    this.#askedMs = options.nowMs;
    this.#progressMs = options.nowMs;
    Object.values(options.manifest.sections).forEach((digest) => {
      const content = options.active?.sections.get(digest);
      if (content !== undefined) {
        this.#collected.set(digest, content);
      }
    });
  }

  /**
   * Adds a peer that has the version; if no peer is being asked, requests the missing sections from it at once.
   * @param peer - Name of the VM.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  addSource(peer: string, nowMs: number): readonly ConfigurationCommand[] {
    if (!this.#sources.includes(peer) && this.#sources.length < MAX_SOURCES) {
      this.#sources.push(peer);
    }
    return this.#asked === undefined ? this.#requestFromNext(nowMs) : [];
  }

  /**
   * Removes the source that is being asked, because its link is down, and asks another one.
   * @param peer - Name of the VM.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  dropSource(peer: string, nowMs: number): readonly ConfigurationCommand[] {
    if (this.#asked !== peer) {
      return [];
    }
    const position = this.#sources.indexOf(peer);
    this.#sources.splice(position, position < 0 ? 0 : 1);
    this.#asked = undefined;
    return this.#requestFromNext(nowMs);
  }

  /**
   * Adds a section if its digest is one of the missing ones.
   * @param reply - Whole section, or a patch for a section of the active version.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Whether the section was missing and has been added.
   */
  addSection(reply: SectionReply, nowMs: number): boolean {
    const content = this.#readContent(reply);
    const digest = content === undefined ? '' : digestText(content);
    const isMissing = this.#listMissing().some((wanted) => wanted.digest === digest);
    if (content === undefined || !isMissing) {
      return false;
    }
    this.#collected.set(digest, Buffer.from(content).toString('utf8'));
    this.#progressMs = nowMs;
    return true;
  }

  /** Returns whether no section is missing. */
  isComplete(): boolean {
    return this.#listMissing().length === 0;
  }

  /**
   * Asks the next source when the current one has not answered in time.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): readonly ConfigurationCommand[] {
    return nowMs - this.#askedMs < ANSWER_TIMEOUT_MS ? [] : this.#requestFromNext(nowMs);
  }

  /**
   * Returns whether the fetch has received no section for too long and must be abandoned.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isStalled(nowMs: number): boolean {
    return nowMs - this.#progressMs >= STALL_TIMEOUT_MS;
  }

  /** Builds the envelope; `isComplete` must hold. */
  buildEnvelope(): Envelope {
    const { bytes, signature, manifest } = this.#options;
    const sections = SECTION_FILES.map((file) => [
      file,
      this.#collected.get(manifest.sections[file]) ?? '',
    ]);
    return {
      manifest: Buffer.from(bytes).toString('utf8'),
      signature: Buffer.from(signature).toString('base64'),
      sections: Object.fromEntries(sections) as Envelope['sections'],
    };
  }

  /** Returns the progress of the fetch, for the state dump. */
  snapshot(nowMs: number): object {
    return {
      version: this.version,
      missing: this.#listMissing().length,
      sources: this.#sources.length,
      progressAgeMs: nowMs - this.#progressMs,
    };
  }

  #listMissing(): readonly WantedSection[] {
    return SECTION_FILES.map((file) => ({
      digest: this.manifest.sections[file],
      base: this.#options.active?.files[file],
    })).filter(({ digest }) => !this.#collected.has(digest));
  }

  #readContent(reply: SectionReply): Uint8Array | undefined {
    if (reply.base.length === 0) {
      return reply.content;
    }
    const base = this.#options.active?.sections.get(Buffer.from(reply.base).toString('hex'));
    return base === undefined ? undefined : applyPatch(Buffer.from(base), reply);
  }

  #requestFromNext(nowMs: number): readonly ConfigurationCommand[] {
    const next = this.#sources.shift();
    if (next === undefined) {
      return [];
    }
    this.#sources.push(next);
    this.#asked = next;
    this.#askedMs = nowMs;
    const frame = createSectionRequest(this.#listMissing());
    return [{ kind: 'sendRequest', peer: next, frame }];
  }
}
