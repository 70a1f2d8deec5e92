import * as crypto from 'node:crypto';
import { Result } from 'true-myth';
import type { BundleError } from '../BundleError.js';
import { buildBundle } from '../sections/buildBundle.js';
import { SECTION_FILES, type SectionTexts } from '../sections/SectionFile.js';
import { manifestSchema } from './Manifest.js';
import { formatEnvelope, parseEnvelope } from './parseEnvelope.js';
import { parsePrivateKey } from './signingKeys.js';

export interface SignOptions {
  /** Version number of the bundle; must be higher than that of the bundle that the nodes currently use. */
  readonly version: number;
  /** Time of signing, recorded in the manifest. */
  readonly signedAt: Date;
  /** Ed25519 private key in PEM (PKCS #8). */
  readonly privateKey: string;
}

/**
 * Validates the section files of a bundle and signs them.
 * @param texts - Content of the four section files.
 * @param options - Version, time of signing and private key.
 * @returns The envelope as JSON, or the reason why nodes would refuse it.
 */
export function signBundle(texts: SectionTexts, options: SignOptions): Result<string, BundleError> {
  const manifest = manifestSchema.safeParse({
    version: options.version,
    signedAt: options.signedAt.toISOString(),
    sections: Object.fromEntries(SECTION_FILES.map((file) => [file, digestText(texts[file])])),
  });
  if (!manifest.success) {
    const expected = 'a version from 1 to 4294967295';
    return Result.err({ kind: 'manifestMalformed', expected });
  }
  const text = JSON.stringify(manifest.data);
  return parsePrivateKey(options.privateKey).andThen((key) =>
    buildBundle(options.version, digestText(text), texts).andThen(() => {
      const signature = crypto.sign(null, Buffer.from(text), key).toString('base64');
      const envelope = formatEnvelope({ manifest: text, signature, sections: { ...texts } });
      return parseEnvelope(envelope).map(() => envelope);
    }),
  );
}

/**
 * Computes the SHA-256 digest of a text, in lower-case hexadecimal.
 * @param text - Section file or manifest.
 */
export function digestText(text: string | Uint8Array): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}
