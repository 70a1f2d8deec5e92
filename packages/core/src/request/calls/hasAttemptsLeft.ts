import type { OutboundCall } from './OutboundCall.js';

/**
 * Tells whether the route's limit, the deadline and the identity of a call leave it another VM to try.
 * @param call - Call whose attempt ended.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function hasAttemptsLeft(call: OutboundCall, nowMs: number): boolean {
  const isSpent = call.tried.size >= (call.route.maxAttempts ?? Number.POSITIVE_INFINITY);
  const isBound = call.once?.kind === 'ticket' || call.pendingRefusal !== undefined;
  return !isBound && !isSpent && nowMs < call.context.deadlineMs;
}
