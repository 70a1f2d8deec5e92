import { create } from '@bufbuild/protobuf';
import { DocumentItemSchema, DocumentSchema, type Document } from '@tanagerpond/wire';
import type { DocumentUpdate, PublishedItem } from './DocumentUpdate.js';

/**
 * Encodes an update for a peer.
 * @param update - Changes, or all items.
 */
export function encodeDocument({
  name,
  era = 0,
  revision,
  since,
  items,
}: DocumentUpdate): Document {
  return create(DocumentSchema, {
    name,
    era,
    revision,
    complete: since === undefined,
    since: since ?? 0,
    items: items.map(({ key, revision: changed, value, graceMs = 0 }) =>
      create(DocumentItemSchema, {
        key,
        revision: changed,
        value: value ?? '',
        removed: value === undefined,
        graceMs,
      }),
    ),
  });
}

/**
 * Decodes an update of a peer.
 * @param frame - Frame of the peer.
 */
export function decodeDocument({
  name,
  era,
  revision,
  since,
  complete,
  items,
}: Document): DocumentUpdate {
  return {
    name,
    ...(era > 0 ? { era } : {}),
    revision,
    ...(complete ? {} : { since }),
    items: items.map(({ key, revision: changed, value, removed, graceMs }): PublishedItem =>
      removed
        ? { key, revision: changed, ...(graceMs > 0 ? { graceMs } : {}) }
        : { key, revision: changed, value },
    ),
  };
}
