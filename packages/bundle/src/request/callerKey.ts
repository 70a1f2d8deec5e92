import * as crypto from 'node:crypto';

const KEY_RANDOM_BYTES = 32;

/**
 * Pattern of a caller's API key: `tpk_` and 43 base64url characters. Not anchored, so that it finds a key inside a
 * text.
 */
export const KEY_PATTERN = /tpk_[A-Za-z0-9_-]{43}/;

/** Creates an API key for a caller from 32 random bytes. */
export function createKey(): string {
  return `tpk_${crypto.randomBytes(KEY_RANDOM_BYTES).toString('base64url')}`;
}

/**
 * Returns whether the whole text is one caller key.
 * @param text - Text that may be a key.
 */
export function isKey(text: string): boolean {
  return text.length === 'tpk_'.length + 43 && KEY_PATTERN.test(text);
}

/**
 * Computes the digest by which a bundle identifies a caller key. Bundles contain only digests, never keys.
 * @param key - Key with its `tpk_` prefix.
 * @returns SHA-256 digest in lower-case hexadecimal.
 */
export function digestKey(key: string): string {
  return crypto.createHash('sha256').update(key).digest('hex');
}
