import type { HeaderPair } from '../../process/node/NodeMessage.js';

/** A header that may come once at most. */
export type SingleHeader =
  | { readonly kind: 'absent' }
  | { readonly kind: 'present'; readonly value: string }
  | { readonly kind: 'repeated' };

/**
 * Reads a header that may come once at most.
 * @param headers - Headers with lower-case names.
 * @param name - Lower-case name.
 */
export function readHeader(headers: readonly HeaderPair[], name: string): SingleHeader {
  const values = headers.filter(([headerName]) => headerName === name);
  const [first] = values;
  if (first === undefined) {
    return { kind: 'absent' };
  }
  return values.length === 1 ? { kind: 'present', value: first[1] } : { kind: 'repeated' };
}
