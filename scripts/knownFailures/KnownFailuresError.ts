/** Thrown if a list of known failures is malformed. Reports the line of the first problem. */
export class KnownFailuresError extends Error {
  /**
   * @param file - Name of the list.
   * @param line - Number of the line, counted from 1.
   * @param expected - Description of the expected content of the line.
   * @param found - Actual content of the line; empty if the entry ends there.
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
