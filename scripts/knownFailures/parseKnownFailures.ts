import { KnownFailuresError } from './KnownFailuresError.js';

/** A test that fails because of a bug that has not been fixed yet. */
export interface KnownFailure {
  /** Full title of the test. */
  readonly test: string;
  /** Command that reproduces the failure. */
  readonly command: string;
  /** Seed of the failing run, an integer, or `none` for a test without randomness. */
  readonly seed: string;
  /** Failure that was observed when the entry was written. */
  readonly seen: string;
  /** Number of the issue. */
  readonly issue: string;
}

interface Field {
  readonly name: keyof KnownFailure;
  readonly pattern: RegExp;
  readonly expected: string;
}

/** Fields of every entry, in this order, one per line. */
const FIELDS: readonly Field[] = [
  { name: 'test', pattern: /^\S(?:.*\S)?$/, expected: '"test: " and a full title' },
  { name: 'command', pattern: /^\S(?:.*\S)?$/, expected: '"command: " and a command' },
  { name: 'seed', pattern: /^(?:none|-?\d+)$/, expected: '"seed: " and an integer or "none"' },
  {
    name: 'seen',
    pattern: /^(?=.{1,200}$)\S(?:.*\S)?$/,
    expected: '"seen: " and at most 200 characters',
  },
  { name: 'issue', pattern: /^[1-9]\d*$/, expected: '"issue: " and a number' },
];

/**
 * Parses a list of known failures. Entries consist of the lines described by {@link FIELDS} and are separated by empty
 * lines. Lines that begin with `#` are comments.
 * @param text - Content of the file.
 * @param file - Name of the file in error messages.
 * @throws KnownFailuresError if a line is malformed, an entry is incomplete or a test is listed twice.
 */
export function parseKnownFailures(text: string, file: string): KnownFailure[] {
  const entries = new Map<string, KnownFailure>();
  let fields: Partial<Record<keyof KnownFailure, string>> = {};
  let next = 0;
  [...text.split(/\r?\n/), ''].forEach((line, index) => {
    if (line.startsWith('#') || (line === '' && next === 0)) return;
    const field = FIELDS[next];
    if (field === undefined) {
      if (line !== '') throw new KnownFailuresError(file, index + 1, 'an empty line', line);
      next = 0;
      fields = {};
      return;
    }
    const prefix = `${field.name}: `;
    const value = line.slice(prefix.length);
    if (!line.startsWith(prefix) || !field.pattern.test(value)) {
      throw new KnownFailuresError(file, index + 1, field.expected, line);
    }
    if (field.name === 'test' && entries.has(value)) {
      throw new KnownFailuresError(file, index + 1, 'a test that is not listed yet', line);
    }
    fields[field.name] = value;
    next += 1;
    if (next === FIELDS.length) entries.set(fields.test as string, fields as KnownFailure);
  });
  return [...entries.values()];
}
