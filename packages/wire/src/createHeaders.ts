import type { Header } from './generated/link_pb.js';

/**
 * Converts header pairs to the header messages of a call or an answer.
 * @param pairs - Names and values, in order.
 */
export function createHeaders(pairs: readonly (readonly [string, string])[]): Header[] {
  return pairs.map((pair) => ({
    $typeName: 'tanagerpond.link.v1.Header',
    name: pair[0],
    value: pair[1],
  }));
}
