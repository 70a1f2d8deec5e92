import * as fs from 'node:fs/promises';
import {
  buildBundle,
  describeBundleError,
  digestText,
  manifestSchema,
  MAX_ENVELOPE_BYTES,
  parseEnvelope,
  type Bundle,
  type BundleError,
  type Envelope,
  type Manifest,
} from '@tanagerpond/bundle';
import { Result } from 'true-myth';
import type { Terminal } from '../Terminal.js';

/** An envelope whose content is valid but whose signature has not been verified. */
export interface UnverifiedEnvelope {
  readonly envelope: Envelope;
  readonly manifest: Manifest;
  readonly bundle: Bundle;
}

/**
 * Reads the text of an envelope file.
 * @param file - Path of the file.
 * @returns The text, or an error message if the file cannot be read or exceeds the size limit of an envelope.
 */
export async function readEnvelopeText(file: string): Promise<Result<string, string>> {
  try {
    const { size } = await fs.stat(file);
    return size > MAX_ENVELOPE_BYTES
      ? Result.err(`${file}: expected at most ${MAX_ENVELOPE_BYTES} bytes`)
      : Result.ok(await fs.readFile(file, 'utf8'));
  } catch {
    return Result.err(`${file}: expected a readable file`);
  }
}

/**
 * Reads an envelope and builds its bundle without verifying the signature.
 * @param file - Path of the file.
 * @param terminal - Output for the error message.
 * @returns The envelope, or undefined after an error was printed.
 */
export async function readEnvelope(
  file: string,
  terminal: Terminal,
): Promise<UnverifiedEnvelope | undefined> {
  const text = await readEnvelopeText(file);
  const read = text.andThen((found) =>
    parseEnvelope(found).andThen(buildEnvelope).mapErr(describeBundleError),
  );
  return read.match({
    Ok: (found) => found,
    Err: (message) => {
      terminal.writeError(message);
      return undefined;
    },
  });
}

function buildEnvelope(envelope: Envelope): Result<UnverifiedEnvelope, BundleError> {
  const manifest = manifestSchema.safeParse(parseJson(envelope.manifest));
  if (!manifest.success) {
    return Result.err({ kind: 'manifestMalformed', expected: 'a manifest in the envelope' });
  }
  const digest = digestText(envelope.manifest);
  return buildBundle(manifest.data.version, digest, envelope.sections).map((bundle) => ({
    envelope,
    manifest: manifest.data,
    bundle,
  }));
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
