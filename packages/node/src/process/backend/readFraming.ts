import type { node } from '@tanagerpond/core';

/** Statuses whose answers have no body, regardless of their headers. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Matches a `transfer-encoding` whose last coding is chunked; no other coding marks the end of the body. */
const LAST_CHUNKED = /(?:^|,)\s*chunked\s*$/i;

/**
 * Determines from the head of an answer how the end of its body is marked (RFC 9112, section 6.3).
 * @param method - Method of the request.
 * @param status - Status of the answer.
 * @param headers - Headers of the answer; names in lower case.
 */
export function readFraming(
  method: string,
  status: number,
  headers: readonly node.HeaderPair[],
): node.AnswerFraming {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) {
    return 'bodiless';
  }
  const coding = headers.findLast((header) => header[0] === 'transfer-encoding');
  if (coding !== undefined) {
    return LAST_CHUNKED.test(coding[1]) ? 'chunked' : 'close';
  }
  return headers.some((header) => header[0] === 'content-length') ? 'length' : 'close';
}
