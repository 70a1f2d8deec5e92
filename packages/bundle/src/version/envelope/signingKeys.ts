import * as crypto from 'node:crypto';
import * as util from 'node:util';
import { Result } from 'true-myth';
import type { BundleError } from '../BundleError.js';

/** Ed25519 key pair for signing bundles. */
export interface SigningKeys {
  /** Private key in PEM (PKCS #8). Secret. */
  readonly privateKey: string;
  /** Raw Ed25519 public key in base64url, 43 characters. */
  readonly publicKey: string;
}

const PUBLIC_KEY_PATTERN = /^[A-Za-z0-9_-]{43}$/;

/** Generates a new Ed25519 key pair for signing bundles. */
export async function generateSigningKeys(): Promise<SigningKeys> {
  const { privateKey, publicKey } = await util.promisify(crypto.generateKeyPair)('ed25519');
  return {
    privateKey: privateKey.export({ type: 'pkcs8', format: 'pem' }).toString(),
    publicKey: publicKey.export({ format: 'jwk' }).x ?? '',
  };
}

/**
 * Parses an Ed25519 private key.
 * @param pem - Key in PEM (PKCS #8).
 * @returns The key, or `keyMalformed`.
 */
export function parsePrivateKey(pem: string): Result<crypto.KeyObject, BundleError> {
  return parseKey(() => crypto.createPrivateKey(pem), 'an Ed25519 private key in PEM (PKCS #8)');
}

/**
 * Parses an Ed25519 public key.
 * @param text - Raw key in base64url, 43 characters.
 * @returns The key, or `keyMalformed`.
 */
export function parsePublicKey(text: string): Result<crypto.KeyObject, BundleError> {
  const expected = 'an Ed25519 public key of 43 base64url characters';
  if (!PUBLIC_KEY_PATTERN.test(text)) {
    return Result.err({ kind: 'keyMalformed', expected });
  }
  const key = { kty: 'OKP', crv: 'Ed25519', x: text };
  return parseKey(() => crypto.createPublicKey({ key, format: 'jwk' }), expected);
}

function parseKey(
  create: () => crypto.KeyObject,
  expected: string,
): Result<crypto.KeyObject, BundleError> {
  try {
    const key = create();
    return key.asymmetricKeyType === 'ed25519'
      ? Result.ok(key)
      : Result.err({ kind: 'keyMalformed', expected });
  } catch {
    return Result.err({ kind: 'keyMalformed', expected });
  }
}
