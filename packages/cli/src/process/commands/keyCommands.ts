import * as fs from 'node:fs/promises';
import { createKey, digestKey, generateSigningKeys, isKey } from '@tanagerpond/bundle';
import { EXIT, type ExitCode } from '../exitCodes.js';
import type { Terminal } from '../Terminal.js';
import type { JsonOptions } from './bundleCommands.js';

/** File mode that lets only the owner read and write the private key. */
const PRIVATE_KEY_MODE = 0o600;

/**
 * Creates a caller key and prints it with the digest that goes into the bundle.
 * @param options - Whether to print JSON.
 * @param terminal - Output for the key and its digest.
 */
export async function createCallerKey(options: JsonOptions, terminal: Terminal): Promise<ExitCode> {
  const key = createKey();
  const digest = digestKey(key);
  if (options.json) {
    terminal.write(JSON.stringify({ key, digest }));
    return EXIT.done;
  }
  terminal.write(`key    ${key}`);
  terminal.write(`digest ${digest}`);
  return EXIT.done;
}

/**
 * Prints the digest of the caller key read from standard input. The key is not accepted as an argument, because
 * arguments are visible in the process list.
 * @param terminal - Input for the key and output for the digest.
 * @returns 2 if the input is not a key.
 */
export async function digestCallerKey(terminal: Terminal): Promise<ExitCode> {
  const key = (await terminal.readInput()).trim();
  if (!isKey(key)) {
    terminal.writeError('expected one key on standard input: tpk_ and 43 base64url characters');
    return EXIT.badInput;
  }
  terminal.write(digestKey(key));
  return EXIT.done;
}

/**
 * Creates a key pair for signing bundles, writes the private key to a file and prints the public key.
 * @param options - File for the private key; an existing file is never overwritten.
 * @param terminal - Output for the public key.
 * @returns 2 if no file is given, or if it exists or cannot be created.
 */
export async function createSigningKey(
  options: { readonly out?: unknown },
  terminal: Terminal,
): Promise<ExitCode> {
  if (options.out === undefined) {
    terminal.writeError('key signing needs --out FILE');
    return EXIT.badInput;
  }
  const { privateKey, publicKey } = await generateSigningKeys();
  try {
    await fs.writeFile(String(options.out), privateKey, { mode: PRIVATE_KEY_MODE, flag: 'wx' });
  } catch {
    terminal.writeError(`${String(options.out)}: expected a new file in a writable directory`);
    return EXIT.badInput;
  }
  terminal.write(publicKey);
  return EXIT.done;
}
