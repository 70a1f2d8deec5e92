/** A list of known failures that cannot be used, with the line of its first fault. */
export class KnownFailuresError extends Error {
  /**
   * @param file - Name of the list.
   * @param line - Counted from 1.
   * @param expected - What should stand there.
   * @param found - What stands there; empty at the end of an entry.
   */
  constructor(
    readonly file: string,
    readonly line: number,
    readonly expected: string,
    readonly found: string,
  ) {
    const seen = found === '' ? 'the end of the entry' : JSON.stringify(found);
    super(`${file}:${line}: expected ${expected}, found ${seen}`);
    this.name = 'KnownFailuresError';
  }
}
