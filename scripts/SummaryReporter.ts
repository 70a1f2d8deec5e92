import Mocha from 'mocha';
import * as knownFailures from './knownFailures/index.js';

const LIST = 'KNOWN-RED.txt';

/**
 * Prints mocha's dot report and closes with one line that counts passed and failed tests. Failures of the tests listed
 * in `KNOWN-RED.txt` of the working directory are printed apart and do not fail the run; an entry that does not agree
 * with the run counts as a failure.
 */
export default class SummaryReporter extends Mocha.reporters.Dot {
  private readonly loaded: string[] = [];

  private readonly passed = new Set<string>();

  private readonly skipped = new Set<string>();

  private readonly failed = new Map<Mocha.Runnable, string>();

  private readonly entries: readonly knownFailures.KnownFailure[] = [];

  private readonly faults: string[] = [];

  /** Failures that fail the run, once the run has ended. */
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
      this.faults.push((error as Error).message);
    }
  }

  override epilogue(): void {
    const { confirmed, mismatches: faults } = knownFailures.checkKnownFailures(this.entries, {
      loaded: this.loaded,
      passed: this.passed,
      failed: new Set(this.failed.values()),
      skipped: this.skipped,
      isSelection: this.runner.total < this.loaded.length,
    });
    this.faults.push(...faults.map((fault) => `${LIST}: ${fault}`));
    // A run that a failure cuts short, as with --bail, proves nothing about the tests after it.
    if (confirmed.length > 0 && this.stats.tests < this.runner.total) {
      const ran = `${this.stats.tests} of ${this.runner.total}`;
      this.faults.push(`${LIST}: only ${ran} tests were run`);
    }
    const known = this.takeFailures(confirmed);
    super.epilogue();
    this.printKnownFailures(confirmed, known);
    this.printSummary();
  }

  /** Hands mocha the number of failures for its exit code. */
  override done(_failures: number, finish?: (failures: number) => void): void {
    finish?.(this.failureCount);
  }

  private recordFailure(runnable: Mocha.Runnable): void {
    if (runnable instanceof Mocha.Test && !runnable.isPending()) {
      this.failed.set(runnable, runnable.fullTitle());
    }
  }

  /** Takes the failures of the entries out of mocha's report and returns them by title. */
  private takeFailures(confirmed: readonly knownFailures.KnownFailure[]): Map<string, unknown> {
    const titles = new Set(confirmed.map((entry) => entry.test));
    const taken = new Map<string, unknown>();
    const left = this.failures.filter((runnable) => {
      const title = this.failed.get(runnable);
      if (title === undefined || !titles.has(title)) return true;
      taken.set(title, runnable.err);
      return false;
    });
    this.failures.splice(0, this.failures.length, ...left);
    this.stats = { ...this.stats, failures: left.length };
    this.failureCount = left.length + this.faults.length;
    return taken;
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
    this.faults.forEach((fault) => process.stdout.write(`${fault}\n`));
  }

  private printSummary(): void {
    const { passes, pending } = this.stats;
    const skipped = pending > 0 ? `, ${pending} skipped` : '';
    process.stdout.write(`${passes} passed, ${this.failureCount} failed${skipped}\n`);
  }
}
