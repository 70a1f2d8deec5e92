import { Result } from 'true-myth';
import type { Bundle } from '../Bundle.js';
import type { BundleError } from '../BundleError.js';
import { buildBundle } from '../sections/buildBundle.js';
import { SECTION_FILES } from '../sections/SectionFile.js';
import { parseEnvelope, type Envelope } from './parseEnvelope.js';
import { digestText } from './signBundle.js';
import { verifyManifest } from './verifyManifest.js';

/**
 * Parses an envelope, verifies its signature and the digests of its sections, and builds the bundle.
 * @param text - Envelope in JSON.
 * @param trustedKeys - Public keys in base64url; the envelope must be signed with one of them.
 * @returns The bundle, or the first reason to refuse the envelope.
 */
export function verifyEnvelope(
  text: string,
  trustedKeys: readonly string[],
): Result<Bundle, BundleError> {
  return parseEnvelope(text).andThen((envelope) => verifyParsedEnvelope(envelope, trustedKeys));
}

/**
 * Verifies the signature and the digests of a parsed envelope and builds the bundle.
 * @param envelope - Envelope from `parseEnvelope`, or assembled from sections that peers sent.
 * @param trustedKeys - Public keys in base64url; the envelope must be signed with one of them.
 * @returns The bundle, or the first reason to refuse the envelope.
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
