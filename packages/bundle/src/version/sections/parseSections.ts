import type { BundleProblem } from '../BundleError.js';
import { scanSections, type ScannedSection } from './scanSections.js';
import type { SectionFile } from './SectionFile.js';
import type { SectionKind } from './sectionKinds.js';

/** A section that matches the schema of its kind. */
export interface ParsedSection<T> {
  readonly value: T;
  /** Text between the brackets, such as `workspace north`. */
  readonly header: string;
  /** Line of the header, counted from 1. */
  readonly line: number;
}

/** Valid sections of a file, and the problems of the others. */
export interface ParsedFile<T> {
  readonly sections: readonly ParsedSection<T>[];
  readonly problems: readonly BundleProblem[];
}

/**
 * Parses the sections of a file and validates each against the schema of the section kind.
 * @param file - Name of the file, for the problems.
 * @param text - Content of the file.
 * @param kind - Kind of the sections in this file.
 * @param deriveFields - Returns fields that are derived from the name of the section.
 */
export function parseSections<T>(
  file: SectionFile,
  text: string,
  kind: SectionKind<T>,
  deriveFields: (name: string) => object,
): ParsedFile<T> {
  const scanned = scanSections(file, text);
  const problems = [...scanned.problems];
  const sections = scanned.sections.flatMap((section) => {
    const found = parseSection(section, kind, deriveFields);
    if ('value' in found) {
      return [{ value: found.value, header: section.header, line: section.line }];
    }
    problems.push(...found.problems.map((problem) => ({ file, ...problem })));
    return [];
  });
  return { sections, problems };
}

type SectionProblem = Omit<BundleProblem, 'file'>;

function parseSection<T>(
  section: ScannedSection,
  kind: SectionKind<T>,
  deriveFields: (name: string) => object,
): { value: T } | { problems: readonly SectionProblem[] } {
  const { header, line } = section;
  const [word, name, ...rest] = header.split(' ');
  const isNameValid =
    kind.namePattern === undefined ? name === undefined : kind.namePattern.test(name ?? '');
  if (word !== kind.keyword || !isNameValid || rest.length > 0) {
    return {
      problems: [{ section: header, line, expected: kind.nameExpected ?? `[${kind.keyword}]` }],
    };
  }
  const { fields, problems } = parseKeys(section, kind);
  if (problems.length > 0) {
    return { problems };
  }
  const checked = kind.schema.safeParse({ ...deriveFields(name ?? ''), ...fields });
  if (checked.success) {
    return { value: checked.data };
  }
  return {
    problems: checked.error.issues.map((issue) => {
      const key = findKey(kind, issue.path[0]);
      const value = key === undefined ? undefined : section.values.get(key);
      return {
        section: header,
        ...(key === undefined ? {} : { key }),
        line: value?.line ?? line,
        expected: describeIssue(issue.message),
      };
    }),
  };
}

function parseKeys<T>(
  section: ScannedSection,
  kind: SectionKind<T>,
): { fields: Record<string, unknown>; problems: SectionProblem[] } {
  const problems: SectionProblem[] = [];
  const fields: Record<string, unknown> = {};
  [...section.values]
    .filter(([key]) => !Object.hasOwn(kind.keys, key))
    .forEach(([key, { line }]) => {
      const expected = `one of the keys ${Object.keys(kind.keys).join(', ')}`;
      problems.push({ section: section.header, key, line, expected });
    });
  Object.entries(kind.keys).forEach(([key, rule]) => {
    const value = section.values.get(key);
    if (value === undefined && 'fallback' in rule) {
      fields[rule.field] = rule.fallback;
      return;
    }
    if (value === undefined) {
      const expected = 'a value for this required key';
      problems.push({ section: section.header, key, line: section.line, expected });
      return;
    }
    rule.parse(value.text).match({
      Ok: (parsed) => {
        fields[rule.field] = parsed;
      },
      Err: (expected) => {
        problems.push({ section: section.header, key, line: value.line, expected });
      },
    });
  });
  return { fields, problems };
}

function findKey<T>(kind: SectionKind<T>, field: PropertyKey | undefined): string | undefined {
  return Object.entries(kind.keys).find(([, rule]) => rule.field === field)?.[0];
}

/** Extracts the part after "expected" from a message of Zod such as "Too big: expected number to be <=20". */
function describeIssue(message: string): string {
  const position = message.indexOf('expected ');
  return position < 0 ? message : message.slice(position + 'expected '.length);
}
