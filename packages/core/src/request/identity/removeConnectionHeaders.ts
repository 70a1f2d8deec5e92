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
 * Removes the headers that must not be forwarded to another connection, and those that a `connection` header lists.
 * @param headers - Headers with lower-case names.
 */
export function removeConnectionHeaders(headers: readonly HeaderPair[]): readonly HeaderPair[] {
  const kept: HeaderPair[] = [];
  const options: string[] = [];
  // Runs several times per call. Until the code is JIT-compiled, a loop with indexes costs a fraction of filters that
  // destructure.
  for (let index = 0; index < headers.length; index++) {
    const header = headers[index];
    if (!CONNECTION_HEADERS.has(header[0])) {
      kept.push(header);
    } else if (header[0] === 'connection') {
      options.push(header[1]);
    }
  }
  return options.length === 0 ? kept : removeNamed(kept, options);
}

/** Removes the headers that a `connection` header lists. */
function removeNamed(
  headers: readonly HeaderPair[],
  options: readonly string[],
): readonly HeaderPair[] {
  const named = options
    .flatMap((option) => option.split(','))
    .map((option) => option.trim().toLowerCase())
    .filter((option) => !CONNECTION_HEADERS.has(option));
  return named.length === 0 ? headers : headers.filter((header) => !named.includes(header[0]));
}
