import type { KnownFailure } from './parseKnownFailures.js';

/** Full titles of the tests of a run, grouped by their results. */
export interface RunTitles {
  /** All tests of the loaded files; a title that several tests share occurs several times. */
  readonly loaded: readonly string[];
  readonly passed: ReadonlySet<string>;
  /** Tests whose own function failed; failures of hooks are not included. */
  readonly failed: ReadonlySet<string>;
  readonly skipped: ReadonlySet<string>;
  /** Whether only some of the loaded tests were selected, for example with `--grep`. */
  readonly isSelection: boolean;
}

/** Result of comparing a list of known failures with a run. */
export interface KnownFailuresResult {
  /** Entries whose test failed as listed. */
  readonly confirmed: readonly KnownFailure[];
  /** One message for each entry that does not match the run. Each of them must fail the run. */
  readonly mismatches: readonly string[];
}

/**
 * Compares the entries of a list of known failures with a run. An entry for a test that was not selected is neither
 * confirmed nor a mismatch.
 * @param entries - Entries with distinct test titles.
 * @param run - Results of the run.
 */
export function checkKnownFailures(
  entries: readonly KnownFailure[],
  run: RunTitles,
): KnownFailuresResult {
  const confirmed: KnownFailure[] = [];
  const mismatches: string[] = [];
  entries.forEach((entry) => {
    const mismatch = describeMismatch(entry.test, run);
    if (mismatch !== undefined) mismatches.push(`"${entry.test}" ${mismatch}`);
    else if (run.failed.has(entry.test)) confirmed.push(entry);
  });
  return { confirmed, mismatches };
}

function describeMismatch(title: string, run: RunTitles): string | undefined {
  const count = run.loaded.filter((loaded) => loaded === title).length;
  if (count === 0) return 'does not exist; correct or remove its entry';
  if (count > 1) return `is the title of ${count} tests; give each a title of its own`;
  if (run.passed.has(title)) return 'passes; remove its entry';
  if (run.skipped.has(title)) return 'was skipped; a listed test has to run';
  if (run.failed.has(title) || run.isSelection) return undefined;
  return 'was not run';
}
