import { Outcome as WireOutcome } from '@tanagerpond/wire';
import type { Outcome } from '../refusals.js';

const OUTCOMES: Readonly<Record<WireOutcome, Outcome>> = {
  [WireOutcome.UNSPECIFIED]: 'unknown',
  [WireOutcome.COMPLETE]: 'complete',
  [WireOutcome.NOT_RUN]: 'notRun',
  [WireOutcome.UNKNOWN]: 'unknown',
};

/**
 * Reads an outcome of a frame. A value of a later version counts as unknown.
 * @param outcome - Outcome as it came.
 */
export function decodeOutcome(outcome: WireOutcome): Outcome {
  return OUTCOMES[outcome] ?? 'unknown';
}
