import type { node } from '@tanagerpond/core';

/**
 * Converts a raw header list to name and value pairs; the names become lower case.
 * @param raw - Alternating names and values, as node:http and undici provide them.
 */
export function parseRawHeaders(raw: readonly (string | Buffer)[]): readonly node.HeaderPair[] {
  const pairs: node.HeaderPair[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    pairs.push([decode(raw[index]).toLowerCase(), decode(raw[index + 1])]);
  }
  return pairs;
}

function decode(text: string | Buffer): string {
  return typeof text === 'string' ? text : text.toString('latin1');
}
