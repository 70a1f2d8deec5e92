import * as fs from 'node:fs';
import { parseKnownFailures } from './parseKnownFailures.js';
import type { KnownFailure } from './parseKnownFailures.js';

/**
 * Reads a list of known failures. A missing file counts as an empty list.
 * @param file - Path relative to the working directory.
 * @throws KnownFailuresError if the list is malformed, or the file system's error if the file cannot be read.
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
