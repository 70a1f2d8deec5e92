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
  const first = headers.findIndex(([headerName]) => headerName === name);
  if (first === -1) {
    return { kind: 'absent' };
  }
  const last = headers.findLastIndex(([headerName]) => headerName === name);
  return first === last ? { kind: 'present', value: headers[first][1] } : { kind: 'repeated' };
}
