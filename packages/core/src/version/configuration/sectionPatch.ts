/** What replaces the middle of a section. One edited line of a large section is a patch of a few bytes. */
export interface SectionPatch {
  /** Bytes at the beginning of the base that stay. */
  readonly prefixBytes: number;
  /** Bytes at the end of the base that stay. */
  readonly suffixBytes: number;
  /** New bytes between them. */
  readonly content: Uint8Array;
}

/**
 * Creates the patch from one section to another by their common beginning and end.
 * @param base - Section that the receiver holds.
 * @param next - Section that it needs.
 */
export function createPatch(base: Uint8Array, next: Uint8Array): SectionPatch {
  const shorter = Math.min(base.length, next.length);
  let prefixBytes = 0;
  while (prefixBytes < shorter && base[prefixBytes] === next[prefixBytes]) {
    prefixBytes += 1;
  }
  let suffixBytes = 0;
  while (
    suffixBytes < shorter - prefixBytes &&
    base[base.length - 1 - suffixBytes] === next[next.length - 1 - suffixBytes]
  ) {
    suffixBytes += 1;
  }
  return {
    prefixBytes,
    suffixBytes,
    content: next.subarray(prefixBytes, next.length - suffixBytes),
  };
}

/**
 * Applies a patch; the caller checks the digest of the result.
 * @param base - Section for which the patch was created.
 * @param patch - Patch of a peer.
 * @returns Undefined when the patch does not fit the base.
 */
export function applyPatch(base: Uint8Array, patch: SectionPatch): Uint8Array | undefined {
  const { prefixBytes, suffixBytes, content } = patch;
  if (prefixBytes + suffixBytes > base.length) {
    return undefined;
  }
  return Buffer.concat([
    base.subarray(0, prefixBytes),
    content,
    base.subarray(base.length - suffixBytes),
  ]);
}
