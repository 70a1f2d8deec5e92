import Mocha from 'mocha';
import * as knownFailures from './knownFailures/index.js';

const LIST = 'KNOWN-RED.txt';

/**
 * Mocha reporter that prints the dot report and a last line with the numbers of passed and failed tests. Failures of
 * the tests listed in `KNOWN-RED.txt` of the working directory are printed separately and do not fail the run. An entry
 * that does not match the run counts as a failure.
 */
export default class SummaryReporter extends Mocha.reporters.Dot {
  private readonly loaded: string[] = [];

  private readonly passed = new Set<string>();

  private readonly skipped = new Set<string>();

  private readonly failed = new Map<Mocha.Runnable, string>();

  private readonly entries: readonly knownFailures.KnownFailure[] = [];

  private readonly problems: string[] = [];

  /** Number of failures that fail the run, problems of the list included. Set when the run has ended. */
  private failureCount = 0;

  constructor(runner: Mocha.Runner, options?: Mocha.MochaOptions) {
    super(runner, options);
    runner.suite.eachTest((test) => this.loaded.push(test.fullTitle()));
    runner.on('pass', (test) => this.passed.add(test.fullTitle()));
    runner.on('pending', (test) => this.skipped.add(test.fullTitle()));
    runner.on('fail', (runnable) => this.recordFailure(runnable));
    try {
      this.entries = knownFailures.readKnownFailures(LIST);
    } catch (error) {
      this.problems.push((error as Error).message);
    }
  }

  override epilogue(): void {
    const { confirmed, mismatches } = knownFailures.checkKnownFailures(this.entries, {
      loaded: this.loaded,
      passed: this.passed,
      failed: new Set(this.failed.values()),
      skipped: this.skipped,
      isSelection: this.runner.total < this.loaded.length,
    });
    this.problems.push(...mismatches.map((mismatch) => `${LIST}: ${mismatch}`));
    // If a failure ends the run early, as with --bail, the results of the remaining tests are not known.
    if (confirmed.length > 0 && this.stats.tests < this.runner.total) {
      const ran = `${this.stats.tests} of ${this.runner.total}`;
      this.problems.push(`${LIST}: only ${ran} tests were run`);
    }
    const known = this.removeKnownFailures(confirmed);
    super.epilogue();
    this.printKnownFailures(confirmed, known);
    this.printSummary();
  }

  /** Reports the number of failures to mocha, which uses it as the exit code. */
  override done(_failures: number, finish?: (failures: number) => void): void {
    finish?.(this.failureCount);
  }

  private recordFailure(runnable: Mocha.Runnable): void {
    if (runnable instanceof Mocha.Test && !runnable.isPending()) {
      this.failed.set(runnable, runnable.fullTitle());
    }
  }

  /** Removes the confirmed known failures from mocha's report and returns their errors by test title. */
  private removeKnownFailures(
    confirmed: readonly knownFailures.KnownFailure[],
  ): Map<string, unknown> {
    const titles = new Set(confirmed.map((entry) => entry.test));
    const removed = new Map<string, unknown>();
    const remaining = this.failures.filter((runnable) => {
      const title = this.failed.get(runnable);
      if (title === undefined || !titles.has(title)) return true;
      removed.set(title, runnable.err);
      return false;
    });
    this.failures.splice(0, this.failures.length, ...remaining);
    this.stats = { ...this.stats, failures: remaining.length };
    this.failureCount = remaining.length + this.problems.length;
    return removed;
  }

  private printKnownFailures(
    confirmed: readonly knownFailures.KnownFailure[],
    errors: ReadonlyMap<string, unknown>,
  ): void {
    const lines = confirmed.flatMap(({ test, seen, issue }) => [
      `  ${test}`,
      `    issue: ${issue}`,
      `    seen:  ${seen}`,
      `    now:   ${String(errors.get(test)).split('\n', 1)[0]}`,
    ]);
    if (lines.length > 0) {
      process.stdout.write(
        `known failures of ${LIST}: ${confirmed.length}\n${lines.join('\n')}\n\n`,
      );
    }
    this.problems.forEach((problem) => process.stdout.write(`${problem}\n`));
  }

  private printSummary(): void {
    const { passes, pending } = this.stats;
    const skipped = pending > 0 ? `, ${pending} skipped` : '';
    process.stdout.write(`${passes} passed, ${this.failureCount} failed${skipped}\n`);
  }
}
