/** Thrown if a scenario cannot be parsed, a statement fails or is interrupted, or an expectation does not hold. */
export class ScenarioError extends Error {
  readonly file: string;

  /** Line of the file, counted from 1. */
  readonly line: number;

  readonly reason: string;

  constructor(file: string, line: number, reason: string) {
    super(`${file}:${line}: ${reason}`);
    this.name = 'ScenarioError';
    this.file = file;
    this.line = line;
    this.reason = reason;
  }
}
