import type { node } from '@tanagerpond/core';

/** Headers that belong to one connection, and the ones that the HTTP libraries set themselves. */
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
 * Takes the raw header list of a message apart.
 * @param raw - Names and values in turn, as node:http and undici give them.
 */
export function parseRawHeaders(raw: readonly (string | Buffer)[]): readonly node.HeaderPair[] {
  const pairs: node.HeaderPair[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    pairs.push([decode(raw[index]).toLowerCase(), decode(raw[index + 1])]);
  }
  return pairs;
}

/**
 * Removes the headers that must not go from one connection to the next.
 * @param headers - Headers with names in lower case.
 */
export function removeConnectionHeaders(
  headers: readonly node.HeaderPair[],
): readonly node.HeaderPair[] {
  const named = headers
    .filter(([name]) => name === 'connection')
    .flatMap(([, value]) => value.split(',').map((token) => token.trim().toLowerCase()));
  const removed = new Set(named);
  return headers.filter(([name]) => !CONNECTION_HEADERS.has(name) && !removed.has(name));
}

function decode(text: string | Buffer): string {
  return typeof text === 'string' ? text : text.toString('latin1');
}
