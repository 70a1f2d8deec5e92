/** Raised when a process ends, or stays silent, before it printed its addresses. */
export class ProcessStartError extends Error {
  readonly processName: string;

  /** Last lines that the process printed. */
  readonly output: readonly string[];

  constructor(processName: string, cause: string, output: readonly string[]) {
    super(`${processName}: ${cause}\n${output.join('\n')}`);
    this.name = 'ProcessStartError';
    this.processName = processName;
    this.output = output;
  }
}
