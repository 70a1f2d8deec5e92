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
import { compareVersions, createHeldVersion, type HeldVersion } from './HeldVersion.js';

/** Refused versions remembered, so that an invalid bundle is not fetched again and again. */
const MAX_REFUSED = 16;

/** Replaced sections that are kept, so that peers a few versions behind need only a patch. */
const MAX_REPLACED = 4;

/** The version in force and the rule by which another one replaces it. */
export class VersionStore {
  readonly #trustedKeys: readonly string[];

  readonly #refused = new Set<string>();

  readonly #replaced = new Map<string, string>();

  #held: HeldVersion | undefined;

  #adopted = 0;

  #conflicts = 0;

  /** @param trustedKeys - Public keys in base64url; any one may have signed. */
  constructor(trustedKeys: readonly string[]) {
    this.#trustedKeys = trustedKeys;
  }

  /** Version in force, if any. */
  get held(): HeldVersion | undefined {
    return this.#held;
  }

  /**
   * Finds a section of the version in force, or one that was replaced lately.
   * @param digest - SHA-256 of the section, in lower-case hexadecimal.
   */
  findSection(digest: string): string | undefined {
    return this.#held?.sections.get(digest) ?? this.#replaced.get(digest);
  }

  /**
   * Tells whether a manifest needs no further look: it is in force or was refused before.
   * @param digest - SHA-256 of the manifest.
   */
  isSettled(digest: string): boolean {
    return digest === this.#held?.digest || this.#refused.has(digest);
  }

  /**
   * Compares a claimed version with the one in force and counts a second bundle with the same version.
   * @param version - Version of the manifest.
   * @param digest - SHA-256 of the manifest, which is not settled.
   */
  checkNewer(version: number, digest: string): boolean {
    this.#conflicts += version === this.#held?.version ? 1 : 0;
    return this.#held === undefined || compareVersions({ version, digest }, this.#held) > 0;
  }

  /**
   * Verifies the signature of a manifest.
   * @param bytes - Manifest as signed.
   * @param signature - Ed25519 signature.
   */
  verify(bytes: Uint8Array, signature: Uint8Array): Result<Manifest, BundleError> {
    return verifyManifest(bytes, signature, this.#trustedKeys);
  }

  /**
   * Puts a newer version in force, or remembers it as refused.
   * @param envelope - Complete envelope.
   * @param manifest - Its verified manifest.
   */
  tryAdopt(envelope: Envelope, manifest: Manifest): Result<Bundle, BundleError> {
    const built = verifyParsedEnvelope(envelope, this.#trustedKeys);
    if (built.isOk) {
      const held = createHeldVersion(envelope, manifest);
      this.#keepReplaced(held);
      this.#held = held;
      this.#adopted += 1;
    } else {
      this.#refuse(digestText(envelope.manifest));
    }
    return built;
  }

  /** Shows the version in force and the counters. */
  snapshot(): object {
    return {
      version: this.#held?.version ?? null,
      digest: this.#held?.digest ?? null,
      adopted: this.#adopted,
      conflicts: this.#conflicts,
    };
  }

  #keepReplaced(next: HeldVersion): void {
    this.#held?.sections.forEach((content, digest) => {
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
