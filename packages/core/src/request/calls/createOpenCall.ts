import { createHeaders, type OpenCall } from '@tanagerpond/wire';
import type { Attempt, OutboundCall } from './OutboundCall.js';

/** Digest or body of a call without one. */
const NO_BYTES = new Uint8Array(0);

/**
 * Creates the `OpenCall` frame that starts an attempt. With a pending refusal, it carries the reason instead of the
 * body.
 * @param call - Call to attempt.
 * @param attempt - Attempt to start.
 * @param targetIncarnation - The only incarnation that may run the call; empty when any may.
 * @param rateLimit - Rate limit that the VM last reported, in calls a second; 0 if none.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function createOpenCall(
  call: OutboundCall,
  attempt: Attempt,
  targetIncarnation: string,
  rateLimit: number,
  nowMs: number,
): OpenCall {
  const { context } = call;
  return {
    $typeName: 'tanagerpond.link.v1.OpenCall',
    callId: attempt.callId,
    context: {
      $typeName: 'tanagerpond.link.v1.Context',
      rootId: context.rootId,
      workspace: context.workspace,
      route: context.route,
      priority: context.priority,
      remainingMs: context.deadlineMs - nowMs,
      allowance: attempt.granted,
      depth: context.depth,
      bundleVersion: context.bundleVersion,
      originService: context.originService,
    },
    method: call.method,
    target: call.target,
    headers: createHeaders(call.headers),
    bodySize: call.pendingRefusal === undefined ? call.bodySize : 0,
    bodyDigest: call.bodyDigest === '' ? NO_BYTES : Buffer.from(call.bodyDigest, 'hex'),
    onceId: call.idempotencyKey?.kind === 'own' ? call.idempotencyKey.id : '',
    ticket: call.idempotencyKey?.kind === 'ticket' ? call.idempotencyKey.text : '',
    targetIncarnation,
    service: call.route.service,
    repeatable: call.route.repeatable,
    refuseReason: call.pendingRefusal?.reason ?? '',
    suspect: false,
    body: NO_BYTES,
    rateLimit,
  };
}
