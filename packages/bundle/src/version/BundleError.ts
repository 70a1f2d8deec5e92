import type { SectionFile } from './sections/SectionFile.js';

/** One validation problem of a section file. It never contains the invalid value, which may be a caller key. */
export interface BundleProblem {
  readonly file: SectionFile;
  /** Section header without the brackets; absent when the problem is outside of any section. */
  readonly section?: string;
  readonly key?: string;
  /** Line of the file, counted from 1. */
  readonly line?: number;
  /** What the file should have contained instead, worded to follow "expected". */
  readonly expected: string;
}

/** Reason why a bundle is refused. */
export type BundleError =
  | { readonly kind: 'envelopeTooLarge'; readonly bytes: number; readonly limitBytes: number }
  | { readonly kind: 'envelopeMalformed'; readonly expected: string }
  | { readonly kind: 'manifestMalformed'; readonly expected: string }
  | { readonly kind: 'keyMalformed'; readonly expected: string }
  | { readonly kind: 'signatureInvalid'; readonly expected: string }
  | { readonly kind: 'sectionMismatch'; readonly file: SectionFile; readonly expected: string }
  | {
      readonly kind: 'sectionsInvalid';
      /** At most `MAX_PROBLEMS` problems, in the order of `SECTION_FILES`. */
      readonly problems: readonly BundleProblem[];
    };

/** Maximum number of problems that are reported at once; further ones are usually consequences of the first ones. */
export const MAX_PROBLEMS = 50;

/**
 * Formats an error for logs and the command line, with one line for each problem.
 * @param error - Error of the bundle package.
 */
export function describeBundleError(error: BundleError): string {
  switch (error.kind) {
    case 'envelopeTooLarge':
      return `the envelope has ${error.bytes} bytes; at most ${error.limitBytes} are allowed`;
    case 'sectionMismatch':
      return `${error.file}: expected ${error.expected}`;
    case 'sectionsInvalid':
      return error.problems.map(describeProblem).join('\n');
    default:
      return `expected ${error.expected}`;
  }
}

/**
 * Formats one problem as `file:line: [section] key: expected ...`.
 * @param problem - Problem of a section file.
 */
export function describeProblem(problem: BundleProblem): string {
  const place = problem.line === undefined ? problem.file : `${problem.file}:${problem.line}`;
  const section = problem.section === undefined ? '' : `: [${problem.section}]`;
  const key = problem.key === undefined ? '' : ` ${problem.key}`;
  return `${place}${section}${key}: expected ${problem.expected}`;
}
