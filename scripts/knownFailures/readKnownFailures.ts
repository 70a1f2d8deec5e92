import * as fs from 'node:fs';
import { parseKnownFailures } from './parseKnownFailures.js';
import type { KnownFailure } from './parseKnownFailures.js';

/**
 * Reads a list of known failures. An absent file is an empty list.
 * @param file - Path from the working directory.
 * @throws KnownFailuresError when the list cannot be used, and the error of the file system when it cannot be read.
 */
export function readKnownFailures(file: string): KnownFailure[] {
  try {
    // eslint-disable-next-line n/no-sync -- mocha creates its reporter synchronously
    return parseKnownFailures(fs.readFileSync(file, 'utf8'), file);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return [];
    throw error;
  }
}
