import type { Frame } from '@tanagerpond/wire';

/**
 * Subtracts the time for which a call has waited in this process from the time until its deadline.
 * @param frame - Frame; only one that opens a call has a deadline.
 * @param waitedMs - Time that the call has waited, in milliseconds.
 */
export function shortenDeadline(frame: Frame, waitedMs: number): void {
  const context = frame.body.case === 'openCall' ? frame.body.value.context : undefined;
  if (context !== undefined) {
    context.remainingMs -= waitedMs;
  }
}
