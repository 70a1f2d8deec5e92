/**
 * A patch that replaces the middle of a section. If one line of a large section was edited, the patch has only a few
 * bytes.
 */
export interface SectionPatch {
  /** Number of bytes kept at the beginning of the base. */
  readonly prefixBytes: number;
  /** Number of bytes kept at the end of the base. */
  readonly suffixBytes: number;
  /** New bytes between them. */
  readonly content: Uint8Array;
}

/**
 * Creates the patch that turns one section into another, from their common prefix and suffix.
 * @param base - Section that the receiver has.
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
 * Applies a patch. The calling code must check the digest of the result.
 * @param base - Section for which the patch was created.
 * @param patch - Patch of a peer.
 * @returns The patched section, or undefined when the base is too short for the patch.
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
