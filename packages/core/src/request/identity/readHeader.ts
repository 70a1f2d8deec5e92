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
  const position = headers.findIndex(([headerName]) => headerName === name);
  if (position === -1) {
    return { kind: 'absent' };
  }
  const isRepeated = headers.some(([headerName], index) => index > position && headerName === name);
  return isRepeated ? { kind: 'repeated' } : { kind: 'present', value: headers[position][1] };
}
