/** Thrown if a process exits or times out before it has printed its addresses. The message contains its output. */
export class ProcessStartError extends Error {
  readonly processName: string;

  /** The latest lines that the process printed. */
  readonly output: readonly string[];

  constructor(processName: string, cause: string, output: readonly string[]) {
    super(`${processName}: ${cause}\n${output.join('\n')}`);
    this.name = 'ProcessStartError';
    this.processName = processName;
    this.output = output;
  }
}
