import { create } from '@bufbuild/protobuf';
import { OpenCallSchema, type OpenCall } from '@tanagerpond/wire';
import type { Attempt, EntryCall } from './EntryCall.js';

/**
 * Creates the frame that starts an attempt.
 * @param call - Call that is attempted.
 * @param attempt - The attempt.
 * @param targetIncarnation - Incarnation that alone may run the call; empty when any may.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function createAttemptFrame(
  call: EntryCall,
  attempt: Attempt,
  targetIncarnation: string,
  nowMs: number,
): OpenCall {
  const { context } = call;
  return create(OpenCallSchema, {
    callId: attempt.callId,
    context: {
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
    headers: call.headers.map(([name, value]) => ({ name, value })),
    bodySize: call.pendingRefusal === undefined ? call.bodySize : 0,
    bodyDigest: Buffer.from(call.bodyDigest, 'hex'),
    onceId: call.once?.kind === 'own' ? call.once.id : '',
    ticket: call.once?.kind === 'ticket' ? call.once.text : '',
    targetIncarnation,
    service: call.route.service,
    repeatable: call.route.repeatable,
    refuseReason: call.pendingRefusal?.reason ?? '',
  });
}
