import type { OutboundCall } from './OutboundCall.js';

/**
 * Returns whether a call may be attempted at another VM: the attempt limit of the route and the deadline allow it, and
 * the call depends on no particular VM (it has no ticket and no pending refusal).
 * @param call - Call whose attempt ended.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function hasAttemptsLeft(call: OutboundCall, nowMs: number): boolean {
  const isSpent = call.triedVms.size >= (call.route.maxAttempts ?? Number.POSITIVE_INFINITY);
  const isPinned = call.idempotencyKey?.kind === 'ticket' || call.pendingRefusal !== undefined;
  return !isPinned && !isSpent && nowMs < call.context.deadlineMs;
}
