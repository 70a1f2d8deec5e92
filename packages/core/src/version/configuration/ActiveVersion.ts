import { digestText, SECTION_FILES, type Envelope, type Manifest } from '@tanagerpond/bundle';

/** Place of a version in the order that every node applies. */
export interface VersionRank {
  readonly version: number;
  /** SHA-256 of the manifest, in lower-case hexadecimal. */
  readonly digest: string;
}

/** A verified version with all that a peer needs to verify it as well. */
export interface ActiveVersion extends VersionRank {
  readonly manifest: Uint8Array;
  readonly signature: Uint8Array;
  /** Digests of the sections by file. */
  readonly files: Manifest['sections'];
  /** Section texts by SHA-256 in lower-case hexadecimal. */
  readonly sections: ReadonlyMap<string, string>;
}

/**
 * Compares two versions. Of two bundles with the same version, the greater digest wins, so that racing operators
 * leave every node with the same one.
 * @returns Positive when `left` goes before `right`, 0 when they are the same.
 */
export function compareVersions(left: VersionRank, right: VersionRank): number {
  if (left.version !== right.version) {
    return left.version - right.version;
  }
  if (left.digest === right.digest) {
    return 0;
  }
  return left.digest > right.digest ? 1 : -1;
}

/**
 * Creates the held form of a verified envelope.
 * @param envelope - Envelope whose signature and sections were verified.
 * @param manifest - Its manifest.
 */
export function createActiveVersion(envelope: Envelope, manifest: Manifest): ActiveVersion {
  return {
    version: manifest.version,
    digest: digestText(envelope.manifest),
    manifest: Buffer.from(envelope.manifest),
    signature: Buffer.from(envelope.signature, 'base64'),
    files: manifest.sections,
    sections: new Map(
      SECTION_FILES.map((file) => [manifest.sections[file], envelope.sections[file]]),
    ),
  };
}
