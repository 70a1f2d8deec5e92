import type { Outcome, RefusalReason } from '../refusals.js';
import type { OutboundCall } from './OutboundCall.js';
import { hasAttemptsLeft } from './hasAttemptsLeft.js';

/** Attempts per call that end without reaching a backend server and cost no allowance. */
const REDIRECT_LIMIT = 3;

/** Reasons for which the call never reached an admission queue; another VM may take it at once. */
const REDIRECT_REASONS: ReadonlySet<RefusalReason> = new Set([
  'leaving',
  'starting',
  'vmUnknown',
  'vmUnreachable',
]);

/** Reasons for which another VM may do better. */
const RETRY_REASONS: ReadonlySet<RefusalReason> = new Set([
  'overloaded',
  'noBackend',
  'preempted',
  'linkLost',
  'ticketTableFull',
  'buffersFull',
]);

/** What to do after an attempt that brought no answer. */
export type RetryDecision = 'redirect' | 'retry' | 'refuse';

/**
 * Decides whether a call may be attempted once more. The allowance and the retry ratio are asked afterwards.
 * @param call - Call whose attempt ended.
 * @param reason - Why the attempt ended.
 * @param outcome - What is known of the attempt.
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
