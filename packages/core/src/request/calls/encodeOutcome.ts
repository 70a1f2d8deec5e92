import { Outcome as WireOutcome } from '@tanagerpond/wire';
import type { Outcome } from '../refusals.js';

const WIRE_OUTCOMES: Readonly<Record<Outcome, WireOutcome>> = {
  complete: WireOutcome.COMPLETE,
  notRun: WireOutcome.NOT_RUN,
  unknown: WireOutcome.UNKNOWN,
};

/**
 * Encodes an outcome for a link frame.
 * @param outcome - Outcome to send.
 */
export function encodeOutcome(outcome: Outcome): WireOutcome {
  return WIRE_OUTCOMES[outcome];
}
