import type { HeaderPair } from '../../process/node/NodeMessage.js';

/** Headers of the system's own; neither side may set them for the other. */
const OWN_PREFIX = 'tanagerpond-';

/** Hop-by-hop headers (RFC 9110, section 7.6.1), framing headers that the next hop sets, and credentials. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Selects the headers that may pass on, in either direction.
 * @param headers - Headers with lower-case names.
 */
export function selectForwardedHeaders(headers: readonly HeaderPair[]): readonly HeaderPair[] {
  const named = findConnectionOptions(headers);
  return headers.filter(
    ([name]) => !DROPPED_HEADERS.has(name) && !name.startsWith(OWN_PREFIX) && !named.has(name),
  );
}

function findConnectionOptions(headers: readonly HeaderPair[]): ReadonlySet<string> {
  const options = headers
    .filter(([name]) => name === 'connection')
    .flatMap(([, value]) => value.split(','))
    .map((option) => option.trim().toLowerCase());
  return new Set(options);
}
