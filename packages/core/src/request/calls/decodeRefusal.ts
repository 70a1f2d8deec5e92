import type { Refused } from '@tanagerpond/wire';
import { createRefusal, isRefusalReason, type Refusal } from '../refusals.js';
import { decodeOutcome } from './decodeOutcome.js';

/**
 * Decodes the refusal of a peer. Reasons that this version does not know decode to `backendFailed`.
 * @param refused - Frame of the peer.
 */
export function decodeRefusal(refused: Refused): Refusal {
  const reason = isRefusalReason(refused.reason) ? refused.reason : 'backendFailed';
  const outcome = decodeOutcome(refused.outcome);
  return refused.retryAfterMs > 0
    ? createRefusal(reason, { outcome, retryAfterMs: refused.retryAfterMs })
    : createRefusal(reason, { outcome });
}
