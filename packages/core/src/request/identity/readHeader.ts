import type { HeaderPair } from '../../process/node/NodeMessage.js';

/** A header that may occur at most once. */
export type SingleHeader =
  | { readonly kind: 'absent' }
  | { readonly kind: 'present'; readonly value: string }
  | { readonly kind: 'repeated' };

/**
 * Reads a header that may occur at most once.
 * @param headers - Headers with lower-case names.
 * @param name - Lower-case name.
 */
export function readHeader(headers: readonly HeaderPair[], name: string): SingleHeader {
  let value: string | undefined;
  for (let index = 0; index < headers.length; index++) {
    if (headers[index][0] === name) {
      if (value !== undefined) {
        return { kind: 'repeated' };
      }
      value = headers[index].at(1);
    }
  }
  return value === undefined ? { kind: 'absent' } : { kind: 'present', value };
}
