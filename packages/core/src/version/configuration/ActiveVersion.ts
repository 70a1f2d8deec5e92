import { digestText, SECTION_FILES, type Envelope, type Manifest } from '@tanagerpond/bundle';

/** Rank of a version in the order by which every node decides which one is newer. */
export interface VersionRank {
  readonly version: number;
  /** SHA-256 of the manifest, in lower-case hexadecimal. */
  readonly digest: string;
}

/** A verified version, with everything that a peer needs to fetch and verify it. */
export interface ActiveVersion extends VersionRank {
  readonly manifest: Uint8Array;
  readonly signature: Uint8Array;
  /** SHA-256 of the sections in lower-case hexadecimal, by file name. */
  readonly files: Manifest['sections'];
  /** Section texts by SHA-256 in lower-case hexadecimal. */
  readonly sections: ReadonlyMap<string, string>;
}

/**
 * Compares two versions. If two bundles have the same version number, the greater digest ranks higher, so that all
 * nodes end up with the same bundle when two operators publish at the same time.
 * @returns Positive when `left` is newer, negative when `right` is newer, 0 when they are the same.
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
 * Creates the version record of a verified envelope.
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
