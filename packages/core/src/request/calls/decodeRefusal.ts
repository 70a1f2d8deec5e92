import type { Refused } from '@tanagerpond/wire';
import { createRefusal, REFUSALS, type Refusal, type RefusalReason } from '../refusals.js';
import { decodeOutcome } from './decodeOutcome.js';

/**
 * Reads a refusal of a peer. A reason that this version does not know is read as a failure of the backend server.
 * @param refused - Frame of the peer.
 */
export function decodeRefusal(refused: Refused): Refusal {
  const reason = refused.reason in REFUSALS ? (refused.reason as RefusalReason) : 'backendFailed';
  const outcome = decodeOutcome(refused.outcome);
  return refused.retryAfterMs > 0
    ? createRefusal(reason, { outcome, retryAfterMs: refused.retryAfterMs })
    : createRefusal(reason, { outcome });
}
