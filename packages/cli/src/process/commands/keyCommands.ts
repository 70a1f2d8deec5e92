import * as fs from 'node:fs/promises';
import { createKey, digestKey, generateSigningKeys, isKey } from '@tanagerpond/bundle';
import { EXIT, type ExitCode } from '../exitCodes.js';
import type { Terminal } from '../Terminal.js';
import type { JsonOptions } from './bundleCommands.js';

/** Only the owner may read a private key. */
const PRIVATE_MODE = 0o600;

/**
 * Creates a caller's key.
 * @param options - Whether to print JSON.
 * @param terminal - Where key and digest go.
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
 * Prints the digest of the key on standard input. A key on the command line would be seen in the list of processes.
 * @param terminal - Where the key comes from and the digest goes.
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
 * Creates a key pair for signing bundles.
 * @param options - New file for the private key; an existing file is kept.
 * @param terminal - Where the public key goes.
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
    await fs.writeFile(String(options.out), privateKey, { mode: PRIVATE_MODE, flag: 'wx' });
  } catch {
    terminal.writeError(`${String(options.out)}: expected a new file in a writable directory`);
    return EXIT.badInput;
  }
  terminal.write(publicKey);
  return EXIT.done;
}
