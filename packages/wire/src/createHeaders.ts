import type { Header } from './generated/link_pb.js';

/**
 * Creates the headers of a call or an answer.
 * @param pairs - Names and values.
 */
export function createHeaders(pairs: readonly (readonly [string, string])[]): Header[] {
  return pairs.map(([name, value]) => ({
    $typeName: 'tanagerpond.link.v1.Header',
    name,
    value,
  }));
}
