import type { HeaderPair } from '../../process/node/NodeMessage.js';

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and those that the HTTP libraries set themselves. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
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
 * Removes the headers that must not go from one connection to the next.
 * @param headers - Headers with lower-case names.
 */
export function removeConnectionHeaders(headers: readonly HeaderPair[]): readonly HeaderPair[] {
  const options = headers.filter(([name]) => name === 'connection');
  const kept = headers.filter(([name]) => !CONNECTION_HEADERS.has(name));
  return options.length === 0 ? kept : removeNamed(kept, options);
}

/** Removes the headers that a `connection` header names. */
function removeNamed(
  headers: readonly HeaderPair[],
  options: readonly HeaderPair[],
): readonly HeaderPair[] {
  const named = options
    .flatMap(([, value]) => value.split(','))
    .map((option) => option.trim().toLowerCase());
  return headers.filter(([name]) => !named.includes(name));
}
