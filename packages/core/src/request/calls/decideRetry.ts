import type { Outcome, RefusalReason } from '../refusals.js';
import type { OutboundCall } from './OutboundCall.js';
import { hasAttemptsLeft } from './hasAttemptsLeft.js';

/**
 * Maximum number of redirects of a call. A redirect follows an attempt that reached no backend server, and takes
 * nothing from the allowance.
 */
const REDIRECT_LIMIT = 3;

/** Refusal reasons that mean that the call reached no admission queue, so that it can be sent to another VM at once. */
const REDIRECT_REASONS: ReadonlySet<RefusalReason> = new Set([
  'leaving',
  'starting',
  'vmUnknown',
  'vmUnreachable',
]);

/** Refusal reasons after which another VM may answer. */
const RETRY_REASONS: ReadonlySet<RefusalReason> = new Set([
  'overloaded',
  'noBackend',
  'preempted',
  'linkLost',
  'ticketTableFull',
  'buffersFull',
]);

/** What follows an attempt that was not answered. */
export type RetryDecision = 'redirect' | 'retry' | 'refuse';

/**
 * Decides whether a call may be attempted once more. A retry must then still be permitted by the call's allowance and
 * the retry budget of its service, which this function does not check.
 * @param call - Call whose attempt ended.
 * @param reason - Why the attempt ended.
 * @param outcome - Whether the attempt ran, as far as this node knows.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function decideRetry(
  call: OutboundCall,
  reason: RefusalReason,
  outcome: Outcome,
  nowMs: number,
): RetryDecision {
  if (!hasAttemptsLeft(call, nowMs)) {
    return 'refuse';
  }
  if (outcome === 'notRun' && REDIRECT_REASONS.has(reason) && call.redirects < REDIRECT_LIMIT) {
    return 'redirect';
  }
  const mayRepeat = outcome === 'notRun' || (call.route.repeatable && outcome === 'unknown');
  return mayRepeat && RETRY_REASONS.has(reason) ? 'retry' : 'refuse';
}
