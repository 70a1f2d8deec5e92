import Mocha from 'mocha';

/** Prints mocha's dot report and closes with one line that counts passed and failed tests. */
export default class SummaryReporter extends Mocha.reporters.Dot {
  epilogue() {
    super.epilogue();
    const { passes, failures, pending } = this.stats;
    const skipped = pending > 0 ? `, ${pending} skipped` : '';
    process.stdout.write(`${passes} passed, ${failures} failed${skipped}\n`);
  }
}
