import type { SectionFile } from './sections/SectionFile.js';

/** One fault of a section file. It never contains the value that was found, which may be a key. */
export interface BundleProblem {
  readonly file: SectionFile;
  /** Section header without the brackets; absent when the fault is outside any section. */
  readonly section?: string;
  readonly key?: string;
  /** Line of the file, counted from 1. */
  readonly line?: number;
  readonly expected: string;
}

/** Why a bundle is refused. */
export type BundleError =
  | { readonly kind: 'envelopeTooLarge'; readonly bytes: number; readonly limitBytes: number }
  | { readonly kind: 'envelopeMalformed'; readonly expected: string }
  | { readonly kind: 'manifestMalformed'; readonly expected: string }
  | { readonly kind: 'keyMalformed'; readonly expected: string }
  | { readonly kind: 'signatureInvalid'; readonly expected: string }
  | { readonly kind: 'sectionMismatch'; readonly file: SectionFile; readonly expected: string }
  | {
      readonly kind: 'sectionsInvalid';
      /** At most `MAX_PROBLEMS`, in the order of the files. */
      readonly problems: readonly BundleProblem[];
    };

/** Problems reported at once; the rest usually follow from the first ones. */
export const MAX_PROBLEMS = 50;

/**
 * Describes an error in one line per fault, for logs and the command line.
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
 * Describes one fault as `file:line: [section] key: expected ...`.
 * @param problem - Fault of a section file.
 */
export function describeProblem(problem: BundleProblem): string {
  const place = problem.line === undefined ? problem.file : `${problem.file}:${problem.line}`;
  const section = problem.section === undefined ? '' : `: [${problem.section}]`;
  const key = problem.key === undefined ? '' : ` ${problem.key}`;
  return `${place}${section}${key}: expected ${problem.expected}`;
}
