import { Result } from 'true-myth';
import type { Bundle } from '../Bundle.js';
import type { BundleError } from '../BundleError.js';
import { buildBundle } from '../sections/buildBundle.js';
import { SECTION_FILES } from '../sections/SectionFile.js';
import { parseEnvelope, type Envelope } from './parseEnvelope.js';
import { digestText } from './signBundle.js';
import { verifyManifest } from './verifyManifest.js';

/**
 * Verifies an envelope completely and builds its bundle.
 * @param text - Envelope in JSON.
 * @param trustedKeys - Public keys in base64url; any one may have signed.
 * @returns The bundle, or the first reason to refuse it.
 */
export function verifyEnvelope(
  text: string,
  trustedKeys: readonly string[],
): Result<Bundle, BundleError> {
  return parseEnvelope(text).andThen((envelope) => verifyParsedEnvelope(envelope, trustedKeys));
}

/**
 * Verifies a parsed envelope and builds its bundle.
 * @param envelope - Envelope that `parseEnvelope` returned or that was put together from peers.
 * @param trustedKeys - Public keys in base64url; any one may have signed.
 */
export function verifyParsedEnvelope(
  envelope: Envelope,
  trustedKeys: readonly string[],
): Result<Bundle, BundleError> {
  const bytes = Buffer.from(envelope.manifest);
  const signature = Buffer.from(envelope.signature, 'base64');
  return verifyManifest(bytes, signature, trustedKeys).andThen((manifest) => {
    const changed = SECTION_FILES.find(
      (file) => digestText(envelope.sections[file]) !== manifest.sections[file],
    );
    if (changed !== undefined) {
      const expected = 'content with the SHA-256 of the manifest';
      return Result.err<Bundle, BundleError>({ kind: 'sectionMismatch', file: changed, expected });
    }
    return buildBundle(manifest.version, digestText(bytes), envelope.sections);
  });
}
