import type { HeaderPair } from '../../process/node/NodeMessage.js';
import { removeConnectionHeaders } from './removeConnectionHeaders.js';

/**
 * Prefix of the headers that nodes exchange with callers and backend servers; they are never forwarded from one to the
 * other.
 */
const OWN_PREFIX = 'tanagerpond-';

/** The caller's API key, and the host name under which the caller reached the node. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set(['authorization', 'host']);

/**
 * Selects the headers that may be forwarded, of requests or of answers.
 * @param headers - Headers with lower-case names.
 */
export function selectForwardedHeaders(headers: readonly HeaderPair[]): readonly HeaderPair[] {
  return removeConnectionHeaders(headers).filter(
    (header) => !DROPPED_HEADERS.has(header[0]) && !header[0].startsWith(OWN_PREFIX),
  );
}
