import type { RoutingOutcome } from '../../process/routing/index.js';
import type { Refusal, RefusalReason } from '../refusals.js';

/** Refusal reasons that mean that the VM is busy or unavailable. */
const VM_REASONS: ReadonlySet<RefusalReason> = new Set([
  'overloaded',
  'noBackend',
  'leaving',
  'starting',
  'ticketTableFull',
  'buffersFull',
]);

/**
 * Returns the outcome that the router records for the VM of a refused attempt: `failed` if the call may have run,
 * `refused` if the VM is busy or unavailable, and `cancelled`, which says nothing about the VM, if the request itself
 * is the cause.
 * @param refusal - Refusal by the VM of an attempt.
 */
export function toRoutingOutcome(refusal: Refusal): RoutingOutcome['kind'] {
  if (refusal.outcome !== 'notRun') {
    return 'failed';
  }
  return VM_REASONS.has(refusal.reason) ? 'refused' : 'cancelled';
}
