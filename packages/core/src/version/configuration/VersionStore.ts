import {
  verifyParsedEnvelope,
  digestText,
  verifyManifest,
  type Bundle,
  type BundleError,
  type Envelope,
  type Manifest,
} from '@tanagerpond/bundle';
import type { Result } from 'true-myth';
import { compareVersions, createActiveVersion, type ActiveVersion } from './ActiveVersion.js';

/** Refused manifests that are remembered, so that an invalid bundle is not fetched repeatedly. */
const MAX_REFUSED = 16;

/** Replaced sections that are kept, so that peers a few versions behind can be sent a patch. */
const MAX_REPLACED = 4;

/** Stores the active version and decides which other versions may replace it. */
export class VersionStore {
  readonly #trustedKeys: readonly string[];

  readonly #refused = new Set<string>();

  readonly #replaced = new Map<string, string>();

  #active: ActiveVersion | undefined;

  #adopted = 0;

  #conflicts = 0;

  /** @param trustedKeys - Public signing keys in base64url; a signature by any one of them is valid. */
  constructor(trustedKeys: readonly string[]) {
    this.#trustedKeys = trustedKeys;
  }

  /** Active version, if any. */
  get active(): ActiveVersion | undefined {
    return this.#active;
  }

  /**
   * Finds a section of the active version, or one that was replaced recently.
   * @param digest - SHA-256 of the section, in lower-case hexadecimal.
   */
  findSection(digest: string): string | undefined {
    return this.#active?.sections.get(digest) ?? this.#replaced.get(digest);
  }

  /**
   * Returns whether a manifest needs no processing: it is the active one or was refused before.
   * @param digest - SHA-256 of the manifest.
   */
  isKnown(digest: string): boolean {
    return digest === this.#active?.digest || this.#refused.has(digest);
  }

  /**
   * Returns whether a version is newer than the active one, and counts a conflict when another bundle has the same
   * version number.
   * @param version - Version of the manifest.
   * @param digest - SHA-256 of the manifest, for which `isKnown` is false.
   */
  checkNewer(version: number, digest: string): boolean {
    this.#conflicts += version === this.#active?.version ? 1 : 0;
    return this.#active === undefined || compareVersions({ version, digest }, this.#active) > 0;
  }

  /**
   * Verifies the signature of a manifest.
   * @param bytes - Signed bytes of the manifest.
   * @param signature - Ed25519 signature.
   */
  verify(bytes: Uint8Array, signature: Uint8Array): Result<Manifest, BundleError> {
    return verifyManifest(bytes, signature, this.#trustedKeys);
  }

  /**
   * Verifies the sections of a newer version and makes it the active one, or remembers it as refused.
   * @param envelope - Envelope with all sections.
   * @param manifest - Its verified manifest.
   */
  tryAdopt(envelope: Envelope, manifest: Manifest): Result<Bundle, BundleError> {
    const built = verifyParsedEnvelope(envelope, this.#trustedKeys);
    if (built.isOk) {
      const active = createActiveVersion(envelope, manifest);
      this.#keepReplaced(active);
      this.#active = active;
      this.#adopted += 1;
    } else {
      this.#refuse(digestText(envelope.manifest));
    }
    return built;
  }

  /** Returns the active version and the counters. */
  snapshot(): object {
    return {
      version: this.#active?.version ?? null,
      digest: this.#active?.digest ?? null,
      adopted: this.#adopted,
      conflicts: this.#conflicts,
    };
  }

  #keepReplaced(next: ActiveVersion): void {
    this.#active?.sections.forEach((content, digest) => {
      if (!next.sections.has(digest)) {
        this.#replaced.set(digest, content);
      }
    });
    const surplus = Math.max(0, this.#replaced.size - MAX_REPLACED);
    [...this.#replaced.keys()].slice(0, surplus).forEach((digest) => this.#replaced.delete(digest));
  }

  #refuse(digest: string): void {
    const [oldest] = this.#refused;
    if (oldest !== undefined && this.#refused.size >= MAX_REFUSED) {
      this.#refused.delete(oldest);
    }
    this.#refused.add(digest);
  }
}
