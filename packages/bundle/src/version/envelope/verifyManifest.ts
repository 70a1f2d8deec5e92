import * as crypto from 'node:crypto';
import { Result } from 'true-myth';
import type { BundleError } from '../BundleError.js';
import { manifestSchema, type Manifest } from './Manifest.js';
import { parsePublicKey } from './signingKeys.js';

/**
 * Verifies the signature over the exact bytes of a manifest, then parses the manifest.
 * @param bytes - Manifest as signed.
 * @param signature - Ed25519 signature.
 * @param trustedKeys - Public keys in base64url; the manifest must be signed with one of them.
 * @returns The manifest, or `keyMalformed`, `signatureInvalid` or `manifestMalformed`.
 */
export function verifyManifest(
  bytes: Uint8Array,
  signature: Uint8Array,
  trustedKeys: readonly string[],
): Result<Manifest, BundleError> {
  const keys: crypto.KeyObject[] = [];
  for (let index = 0; index < trustedKeys.length; index++) {
    const key = parsePublicKey(trustedKeys[index] ?? '');
    if (key.isErr) {
      return Result.err(key.error);
    }
    keys.push(key.value);
  }
  if (!keys.some((key) => crypto.verify(null, bytes, key, signature))) {
    const expected = 'a signature over the manifest by a trusted key';
    return Result.err({ kind: 'signatureInvalid', expected });
  }
  const manifest = manifestSchema.safeParse(parseJson(Buffer.from(bytes).toString('utf8')));
  if (!manifest.success) {
    const expected = 'a manifest with version, signedAt and the digest of each section';
    return Result.err({ kind: 'manifestMalformed', expected });
  }
  return Result.ok(manifest.data);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
