/** One item of a document at its last change. */
export interface PublishedItem {
  readonly key: string;
  /** Revision of the last change of this item. */
  readonly revision: number;
  /** Content in the format of the source; absent when the item was removed. */
  readonly value?: string;
  /** Time for which a removed item remains in use, in milliseconds; absent for none. */
  readonly graceMs?: number;
}

/** Changes of a document, or all its items, as a source published them or a peer forwarded them. */
export interface DocumentUpdate {
  /** Name of the document, the same at every node. */
  readonly name: string;
  /** History of the source that all revisions of this update belong to; absent, like 0, if the source names none. */
  readonly era?: number;
  /** Revision of the newest change that the update contains. */
  readonly revision: number;
  /**
   * Revision after which the update contains every change; absent when it contains all items, so that others are removed.
   */
  readonly since?: number;
  /** Revision of the source when all items were read, if that is later than `revision`. */
  readonly asOf?: number;
  readonly items: readonly PublishedItem[];
}
