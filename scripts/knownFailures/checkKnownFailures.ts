import type { KnownFailure } from './parseKnownFailures.js';

/** Full titles of the tests of a run, by what became of them. */
export interface RunTitles {
  /** Every test of the loaded files, once for each test that bears the title. */
  readonly loaded: readonly string[];
  readonly passed: ReadonlySet<string>;
  /** Tests whose own function failed; failures of hooks do not count. */
  readonly failed: ReadonlySet<string>;
  readonly skipped: ReadonlySet<string>;
  /** Whether only some of the loaded tests were asked for. */
  readonly isSelection: boolean;
}

/** What a list of known failures says about a run. */
export interface KnownFailuresResult {
  /** Entries whose test failed as listed. */
  readonly confirmed: readonly KnownFailure[];
  /** Entries that do not agree with the run, each of which fails it. */
  readonly mismatches: readonly string[];
}

/**
 * Compares the entries with a run.
 * @param entries - Each names another test.
 * @param run - What became of the tests.
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
