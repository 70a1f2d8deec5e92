import * as ini from 'ini';
import type { BundleProblem } from '../BundleError.js';
import type { SectionFile } from './SectionFile.js';

/** Value of a key and its line number. */
export interface ScannedValue {
  readonly text: string;
  readonly line: number;
}

/** One section of a file before its values are parsed. */
export interface ScannedSection {
  /** Text between the brackets, such as `workspace north`. */
  readonly header: string;
  readonly line: number;
  readonly values: ReadonlyMap<string, ScannedValue>;
}

/** Sections of a file, and the problems of its syntax. */
export interface ScannedFile {
  readonly sections: readonly ScannedSection[];
  readonly problems: readonly BundleProblem[];
}

/** Lines of a section, collected while the file is scanned. */
interface SectionLines {
  header: string;
  line: number;
  lines: string[];
  keyLines: Map<string, number>;
}

const HEADER_PATTERN = /^\[([^[\]]+)\]$/;
const COMMENT_PATTERN = /^[;#]/;

/**
 * Splits an INI file into sections with line numbers and parses the values of each section with the `ini` library. The
 * sections are split here because the library would merge duplicates silently and split section names at dots.
 * @param file - Name of the file, for the problems.
 * @param text - Content of the file.
 */
export function scanSections(file: SectionFile, text: string): ScannedFile {
  const problems: BundleProblem[] = [];
  const sections: SectionLines[] = [];
  const headers = new Set<string>();
  text.split(/\r\n|\n|\r/).forEach((raw, index) => {
    const line = index + 1;
    const trimmed = raw.trim();
    if (trimmed === '' || COMMENT_PATTERN.test(trimmed)) {
      return;
    }
    const header = HEADER_PATTERN.exec(trimmed)?.[1]?.trim().replaceAll(/\s+/g, ' ');
    if (header !== undefined) {
      if (headers.has(header)) {
        problems.push({ file, section: header, line, expected: 'each section only once' });
      }
      headers.add(header);
      sections.push({ header, line, lines: [], keyLines: new Map() });
      return;
    }
    const problem = addLine(sections.at(-1), trimmed, line);
    if (problem !== undefined) {
      problems.push({ file, ...problem });
    }
  });
  return { sections: sections.map(scanSection), problems };
}

function addLine(
  section: SectionLines | undefined,
  text: string,
  line: number,
): Omit<BundleProblem, 'file'> | undefined {
  if (section === undefined) {
    return { line, expected: 'a section header before the first key' };
  }
  const separator = text.indexOf('=');
  if (separator < 1) {
    return { section: section.header, line, expected: 'a section header or key = value' };
  }
  const key = text.slice(0, separator).trim();
  if (section.keyLines.has(key)) {
    return { section: section.header, key, line, expected: 'each key only once in a section' };
  }
  section.keyLines.set(key, line);
  section.lines.push(text);
  return undefined;
}

function scanSection(section: SectionLines): ScannedSection {
  const parsed = ini.parse(section.lines.join('\n'), { bracketedArray: false });
  const values = [...section.keyLines].map(([key, line]): [string, ScannedValue] => [
    key,
    { text: Object.hasOwn(parsed, key) ? String(parsed[key]).trim() : '', line },
  ]);
  return { header: section.header, line: section.line, values: new Map(values) };
}
