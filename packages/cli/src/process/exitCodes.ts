/** Exit codes shared by all commands. */
export const EXIT = {
  /** The command succeeded. */
  done: 0,
  /** The check or the run failed. */
  failed: 1,
  /** Usage error, or input that cannot be read. */
  badInput: 2,
} as const;

export type ExitCode = number;
