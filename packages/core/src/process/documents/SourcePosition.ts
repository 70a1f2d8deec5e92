/** Position in the changes of a source. Revisions are only comparable within one era. */
export interface SourcePosition {
  /** Number of the source's history; it rises when the source continues from an older copy. 0 if the source names none. */
  readonly era: number;
  readonly revision: number;
}

/**
 * Returns whether a position is later than another one.
 * @param position - Position to compare.
 * @param other - Position that it is compared with.
 */
export function isLater(position: SourcePosition, other: SourcePosition): boolean {
  return position.era === other.era ? position.revision > other.revision : position.era > other.era;
}
