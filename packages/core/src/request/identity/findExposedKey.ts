import { KEY_PATTERN } from '@tanagerpond/bundle';
import type { ReceivedRequest, HeaderPair } from '../../process/node/NodeMessage.js';

/** Maximum rounds of percent-decoding; there is more than one because a backend server may decode more than once. */
const DECODE_ROUNDS = 3;

/**
 * Finds text in the format of an API key in the target, the body or the forwarded headers of a request, so that no
 * backend server ever sees a key.
 * @param request - Request as received.
 * @param forwarded - Headers that would be forwarded.
 * @returns The part of the request that holds the key, never its content; `undefined` when there is none.
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
