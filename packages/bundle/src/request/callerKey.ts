import * as crypto from 'node:crypto';

const KEY_RANDOM_BYTES = 32;

/** Shape of a caller's key: `tpk_` and 43 base64url characters. Not anchored, so that it finds a key inside a text. */
export const KEY_PATTERN = /tpk_[A-Za-z0-9_-]{43}/;

/** Creates a key of 32 random bytes. */
export function createKey(): string {
  return `tpk_${crypto.randomBytes(KEY_RANDOM_BYTES).toString('base64url')}`;
}

/**
 * Tells whether a text is exactly one key.
 * @param text - Text that may be a key.
 */
export function isKey(text: string): boolean {
  return text.length === 'tpk_'.length + 43 && KEY_PATTERN.test(text);
}

/**
 * Computes the digest under which a bundle holds a key.
 * @param key - Key of a caller, with its prefix.
 * @returns SHA-256 in lower-case hexadecimal.
 */
export function digestKey(key: string): string {
  return crypto.createHash('sha256').update(key).digest('hex');
}
