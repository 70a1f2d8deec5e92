import { Outcome as WireOutcome } from '@tanagerpond/wire';
import type { Outcome } from '../refusals.js';

const OUTCOMES: Readonly<Record<WireOutcome, Outcome>> = {
  [WireOutcome.UNSPECIFIED]: 'unknown',
  [WireOutcome.COMPLETE]: 'complete',
  [WireOutcome.NOT_RUN]: 'notRun',
  [WireOutcome.UNKNOWN]: 'unknown',
};

/**
 * Decodes the outcome field of a link frame. Values that this version does not know decode to `unknown`.
 * @param outcome - Received enum value.
 */
export function decodeOutcome(outcome: WireOutcome): Outcome {
  return OUTCOMES[outcome] ?? 'unknown';
}
