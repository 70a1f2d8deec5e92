import { parseSections, type ParsedFile } from './parseSections.js';
import type { SectionFile } from './SectionFile.js';
import type { SectionKind } from './sectionKinds.js';

interface KnownFile {
  readonly text: string;
  readonly read: ParsedFile<unknown>;
}

/** Last content of each file. A change of configuration touches one file as a rule. */
const knownFiles = new Map<SectionFile, KnownFile>();

/**
 * Reads the sections of a file, or takes what was read before when the text is the same. What is returned is shared and
 * must not be changed.
 * @param file - Name of the file.
 * @param text - Content of the file.
 * @param kind - What the file may contain.
 * @param extend - Adds fields that follow from the name of the section.
 */
export function parseSectionsCached<T>(
  file: SectionFile,
  text: string,
  kind: SectionKind<T>,
  extend: (name: string) => object,
): ParsedFile<T> {
  const known = knownFiles.get(file);
  if (known?.text === text) {
    return known.read as ParsedFile<T>;
  }
  const read = parseSections(file, text, kind, extend);
  knownFiles.set(file, { text, read });
  return read;
}
