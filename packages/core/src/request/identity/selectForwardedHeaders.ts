import type { HeaderPair } from '../../process/node/NodeMessage.js';
import { removeConnectionHeaders } from './removeConnectionHeaders.js';

/** Headers of the system's own; neither side may set them for the other. */
const OWN_PREFIX = 'tanagerpond-';

/** The caller's key, and the name of the node that the caller chose. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set(['authorization', 'host']);

/**
 * Selects the headers that may pass on, in either direction.
 * @param headers - Headers with lower-case names.
 */
export function selectForwardedHeaders(headers: readonly HeaderPair[]): readonly HeaderPair[] {
  return removeConnectionHeaders(headers).filter(
    (header) => !DROPPED_HEADERS.has(header[0]) && !header[0].startsWith(OWN_PREFIX),
  );
}
