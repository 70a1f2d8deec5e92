import { Result } from 'true-myth';
import * as z from 'zod';
import type { BundleError } from '../BundleError.js';

/** Maximum size of an envelope, in bytes; the configuration service stores values of up to 1 MB. */
export const MAX_ENVELOPE_BYTES = 1_000_000;

const envelopeSchema = z.strictObject({
  /** Exact text of the manifest; the signature covers its bytes. */
  manifest: z.string().max(4_096),
  /** Ed25519 signature in base64. */
  signature: z.base64().max(128),
  sections: z.strictObject({
    'fleet.ini': z.string(),
    'workspaces.ini': z.string(),
    'services.ini': z.string(),
    'routes.ini': z.string(),
  }),
});

/** Signed bundle in the form that the configuration service stores as JSON. */
export type Envelope = Readonly<z.infer<typeof envelopeSchema>>;

/**
 * Parses an envelope. Verifies neither the signature nor the digests of the sections.
 * @param text - Envelope in JSON.
 * @returns The envelope, or `envelopeTooLarge` or `envelopeMalformed`.
 */
export function parseEnvelope(text: string): Result<Envelope, BundleError> {
  const bytes = Buffer.byteLength(text);
  if (bytes > MAX_ENVELOPE_BYTES) {
    return Result.err({ kind: 'envelopeTooLarge', bytes, limitBytes: MAX_ENVELOPE_BYTES });
  }
  const parsed = envelopeSchema.safeParse(parseJson(text));
  if (parsed.success) {
    return Result.ok(parsed.data);
  }
  const [issue] = parsed.error.issues;
  const place = issue === undefined || issue.path.length === 0 ? '' : ` at ${issue.path.join('.')}`;
  const expected = `a JSON object with manifest, signature and sections${place}`;
  return Result.err({ kind: 'envelopeMalformed', expected });
}

/**
 * Formats an envelope as the JSON that the configuration service stores.
 * @param envelope - Manifest text, signature and sections.
 */
export function formatEnvelope(envelope: Envelope): string {
  return JSON.stringify(envelope);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
