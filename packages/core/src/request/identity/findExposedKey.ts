import { KEY_PATTERN } from '@tanagerpond/bundle';
import type { ReceivedRequest, HeaderPair } from '../../process/node/NodeMessage.js';

/** Percent-decoding is repeated, since a backend server may decode more than once. */
const DECODE_ROUNDS = 3;

/**
 * Finds a place other than `authorization` that holds text of key shape, so that no backend server ever sees a key.
 * @param request - Request as it came.
 * @param forwarded - Headers that would pass on.
 * @returns The name of the place, never its content; `undefined` when there is none.
 */
export function findExposedKey(
  request: ReceivedRequest,
  forwarded: readonly HeaderPair[],
): string | undefined {
  if (hasKey(request.target)) {
    return 'target';
  }
  if (request.bodyHasKey) {
    return 'body';
  }
  const header = forwarded.find((pair) => hasKey(pair[0]) || hasKey(pair[1]));
  return header === undefined ? undefined : `header ${describeHeaderName(header[0])}`;
}

function hasKey(text: string): boolean {
  if (!text.includes('%')) {
    return KEY_PATTERN.test(text);
  }
  let decoded = text;
  for (let round = 0; round <= DECODE_ROUNDS; round += 1) {
    if (KEY_PATTERN.test(decoded)) {
      return true;
    }
    const next = decodePercent(decoded);
    if (next === decoded) {
      return false;
    }
    decoded = next;
  }
  return false;
}

function decodePercent(text: string): string {
  return text.replace(/%([0-9a-f]{2})/gi, (_, hex: string) =>
    String.fromCharCode(parseInt(hex, 16)),
  );
}

function describeHeaderName(name: string): string {
  return hasKey(name) ? '(name withheld)' : name;
}
