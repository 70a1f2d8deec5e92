import type { RoutingOutcome } from '../../process/routing/index.js';
import type { Refusal, RefusalReason } from '../refusals.js';

/** Refusals that show that a VM is busy or away. */
const VM_REASONS: ReadonlySet<RefusalReason> = new Set([
  'overloaded',
  'noBackend',
  'leaving',
  'starting',
  'ticketTableFull',
  'buffersFull',
]);

/**
 * Describes to the router what a refusal says about the VM: nothing when it follows from the request itself.
 * @param refusal - Refusal by the VM of an attempt.
 */
export function toRoutingOutcome(refusal: Refusal): RoutingOutcome['kind'] {
  if (refusal.outcome !== 'notRun') {
    return 'failed';
  }
  return VM_REASONS.has(refusal.reason) ? 'refused' : 'cancelled';
}
