import { parseSections, type ParsedFile } from './parseSections.js';
import type { SectionFile } from './SectionFile.js';
import type { SectionKind } from './sectionKinds.js';

/** Content of a file and the result of parsing it. */
interface CachedFile {
  readonly text: string;
  readonly parsed: ParsedFile<unknown>;
}

/** Last parsed content of each file. A configuration change usually affects only one file. */
const cachedFiles = new Map<SectionFile, CachedFile>();

/**
 * Parses the sections of a file with `parseSections`, or returns the previous result when the text is the same. Results
 * are shared between callers and must not be modified.
 * @param file - Name of the file, which is the key of the cache.
 * @param text - Content of the file.
 * @param kind - Kind of the sections in this file.
 * @param deriveFields - Returns fields that are derived from the name of the section.
 */
export function parseSectionsCached<T>(
  file: SectionFile,
  text: string,
  kind: SectionKind<T>,
  deriveFields: (name: string) => object,
): ParsedFile<T> {
  const cached = cachedFiles.get(file);
  if (cached?.text === text) {
    return cached.parsed as ParsedFile<T>;
  }
  const parsed = parseSections(file, text, kind, deriveFields);
  cachedFiles.set(file, { text, parsed });
  return parsed;
}
