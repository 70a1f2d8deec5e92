import * as fs from 'node:fs/promises';
import {
  buildBundle,
  describeBundleError,
  loadSections,
  signBundle,
  verifyEnvelope,
  type BundleError,
} from '@tanagerpond/bundle';
import { EXIT, type ExitCode } from '../exitCodes.js';
import type { Terminal } from '../Terminal.js';
import { readEnvelopeText } from './readEnvelope.js';

export interface JsonOptions {
  readonly json?: boolean;
}

export interface SignFileOptions {
  readonly version?: unknown;
  readonly key?: unknown;
  readonly out?: unknown;
}

/**
 * Checks that the INI files of a directory form a valid bundle.
 * @param directory - Directory with the four INI files.
 * @param options - Whether to print JSON.
 * @param terminal - Output for the result.
 * @returns 1 if the bundle is invalid, 2 if a file cannot be read.
 */
export async function checkBundle(
  directory: string,
  options: JsonOptions,
  terminal: Terminal,
): Promise<ExitCode> {
  const texts = await loadSections(directory);
  if (texts.isErr) {
    return reportError(texts.error, options, terminal, EXIT.badInput);
  }
  return buildBundle(1, '', texts.value).match({
    Ok: (bundle) => {
      const { workspaces, services, routes } = bundle;
      const counts = {
        workspaces: workspaces.size,
        services: services.size,
        routes: routes.size,
        keys: bundle.workspaceByKeyDigest.size,
      };
      const text = `${directory} is valid: ${counts.workspaces} workspaces, ${counts.services} services, ${counts.routes} routes, ${counts.keys} keys`;
      terminal.write(options.json ? JSON.stringify({ valid: true, ...counts }) : text);
      return EXIT.done;
    },
    Err: (error) => reportError(error, options, terminal, EXIT.failed),
  });
}

/**
 * Signs the INI files of a directory and writes the envelope.
 * @param directory - Directory with the four INI files.
 * @param options - Version of the bundle, private key file and output file; all are required.
 * @param terminal - Output for the result.
 * @returns 1 if the bundle is invalid, 2 if an option is missing or an input file or the key cannot be used.
 */
export async function signBundleFiles(
  directory: string,
  options: SignFileOptions,
  terminal: Terminal,
): Promise<ExitCode> {
  const { version, key, out } = options;
  if (typeof version !== 'number' || key === undefined || out === undefined) {
    terminal.writeError('bundle sign needs --version NUMBER, --key FILE and --out FILE');
    return EXIT.badInput;
  }
  const texts = await loadSections(directory);
  if (texts.isErr) {
    return reportError(texts.error, {}, terminal, EXIT.badInput);
  }
  const privateKey = await fs.readFile(String(key), 'utf8').catch(() => '');
  const signed = signBundle(texts.value, { version, signedAt: new Date(), privateKey });
  if (signed.isErr) {
    const isInput = ['keyMalformed', 'manifestMalformed'].includes(signed.error.kind);
    return reportError(signed.error, {}, terminal, isInput ? EXIT.badInput : EXIT.failed);
  }
  await fs.writeFile(String(out), signed.value);
  terminal.write(`${String(out)} holds version ${version}`);
  return EXIT.done;
}

/**
 * Verifies the signature and the content of an envelope file with the same checks as a node.
 * @param file - Envelope file.
 * @param options - Trusted public keys and whether to print JSON.
 * @param terminal - Output for the result.
 * @returns 1 if verification fails, 2 if the file cannot be read or a trusted key is missing or malformed.
 */
export async function verifyBundle(
  file: string,
  options: JsonOptions & { readonly trust?: unknown },
  terminal: Terminal,
): Promise<ExitCode> {
  const trusted = [options.trust ?? []].flat().map(String);
  if (trusted.length === 0) {
    terminal.writeError('bundle verify needs --trust PUBLICKEY');
    return EXIT.badInput;
  }
  const text = await readEnvelopeText(file);
  if (text.isErr) {
    terminal.writeError(text.error);
    return EXIT.badInput;
  }
  return verifyEnvelope(text.value, trusted).match({
    Ok: ({ version, digest }) => {
      const sentence = `${file} holds version ${version}, manifest ${digest}, signed by a trusted key`;
      terminal.write(options.json ? JSON.stringify({ valid: true, version, digest }) : sentence);
      return EXIT.done;
    },
    Err: (error) => {
      const code = error.kind === 'keyMalformed' ? EXIT.badInput : EXIT.failed;
      return reportError(error, options, terminal, code);
    },
  });
}

function reportError(
  error: BundleError,
  options: JsonOptions,
  terminal: Terminal,
  code: ExitCode,
): ExitCode {
  if (options.json) {
    terminal.write(JSON.stringify({ valid: false, error }));
  } else {
    terminal.writeError(describeBundleError(error));
  }
  return code;
}
