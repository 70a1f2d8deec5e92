import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import { Result } from 'true-myth';
import type { BundleError, BundleProblem } from '../BundleError.js';
import { SECTION_FILES, type SectionTexts } from './SectionFile.js';

/** Maximum size of a section file, in bytes; that of a whole envelope, which contains the file. */
const MAX_FILE_BYTES = 1_000_000;

/**
 * Loads the four section files of a bundle from a directory.
 * @param directory - Directory that contains the files.
 * @returns The content of the files, or `sectionsInvalid` with the files that cannot be read.
 */
export async function loadSections(directory: string): Promise<Result<SectionTexts, BundleError>> {
  const read = await Promise.all(
    SECTION_FILES.map(async (file) => ({ file, text: await readText(path.join(directory, file)) })),
  );
  const problems = read
    .filter(({ text }) => text === undefined)
    .map(({ file }): BundleProblem => ({
      file,
      expected: `a readable file of at most ${MAX_FILE_BYTES} bytes`,
    }));
  if (problems.length > 0) {
    return Result.err({ kind: 'sectionsInvalid', problems });
  }
  const texts = Object.fromEntries(read.map(({ file, text }) => [file, text ?? '']));
  return Result.ok(texts as SectionTexts);
}

async function readText(file: string): Promise<string | undefined> {
  try {
    const { size } = await fs.stat(file);
    return size > MAX_FILE_BYTES ? undefined : await fs.readFile(file, 'utf8');
  } catch {
    return undefined;
  }
}
