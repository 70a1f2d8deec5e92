const KEY_PREFIX = Buffer.from('tpk_');

/** Base64url characters after the prefix of a key; they encode 256 random bits. */
const KEY_CHARACTERS = 43;

const KEY_END = /^[A-Za-z0-9_-]{43}$/;

/**
 * Returns whether a body contains, at any position, text that has the format of a caller's key.
 * @param bytes - Body of a request.
 */
export function hasKeyPattern(bytes: Buffer): boolean {
  let position = bytes.indexOf(KEY_PREFIX);
  while (position !== -1) {
    const start = position + KEY_PREFIX.length;
    if (KEY_END.test(bytes.toString('latin1', start, start + KEY_CHARACTERS))) {
      return true;
    }
    position = bytes.indexOf(KEY_PREFIX, position + 1);
  }
  return false;
}
