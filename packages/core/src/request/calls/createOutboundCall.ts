import type { ReceivedRequest } from '../../process/node/NodeMessage.js';
import type { CallContext } from '../CallContext.js';
import type { AdmittedRequest } from './admitCaller.js';
import { AttemptAllowance } from './AttemptAllowance.js';
import type { OutboundCall } from './OutboundCall.js';

/** Position of a call in its call tree. */
export interface CallTreePosition {
  readonly context: CallContext;
  /** Call id of the parent; absent for requests of callers. */
  readonly parentCallId?: string;
  /** Extra attempts that the parent call granted. */
  readonly grantedByParent?: number;
}

/**
 * Creates the record of a call that this node will send; it waits for a rate token at first.
 * @param request - Request as received.
 * @param admitted - The same request after its checks.
 * @param nowMs - Monotonic time, in milliseconds.
 * @param position - Position in the call tree.
 */
export function createOutboundCall(
  request: ReceivedRequest,
  admitted: AdmittedRequest,
  nowMs: number,
  position: CallTreePosition,
): OutboundCall {
  const { route, target, headers, keyDigest, idempotencyKey, attemptId } = admitted;
  const { requestId, method, bodySize, bodyDigest } = request;
  return {
    requestId,
    route,
    target,
    headers,
    method,
    bodySize,
    bodyDigest,
    allowance: new AttemptAllowance(position.context.allowance),
    grantedByParent: 0,
    startedMs: nowMs,
    state: 'waitingForRate',
    triedVms: new Set(),
    redirects: 0,
    mayHaveRun: false,
    ...(keyDigest === undefined ? {} : { keyDigest }),
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    ...(attemptId === undefined ? {} : { attemptId }),
    ...position,
  };
}
