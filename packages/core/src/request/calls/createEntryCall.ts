import type { ArrivedRequest } from '../../process/node/NodeMessage.js';
import type { CallContext } from '../CallContext.js';
import type { AdmittedRequest } from './admitCaller.js';
import { AttemptAllowance } from './AttemptAllowance.js';
import type { OutboundCall } from './OutboundCall.js';

/** Place of a call in its tree. */
export interface EntryPlace {
  readonly context: CallContext;
  /** Absent for callers. */
  readonly parentCallId?: string;
  /** Extra attempts that the parent gave. */
  readonly grantedByParent?: number;
}

/**
 * Creates the record of a call that this node starts.
 * @param request - Request as it came.
 * @param admitted - The request after its checks.
 * @param nowMs - Monotonic time, in milliseconds.
 * @param place - Place in the call tree.
 */
export function createEntryCall(
  request: ArrivedRequest,
  admitted: AdmittedRequest,
  nowMs: number,
  place: EntryPlace,
): OutboundCall {
  const { route, target, headers, keyDigest, once, attemptId } = admitted;
  const { requestId, method, bodySize, bodyDigest } = request;
  return {
    requestId,
    route,
    target,
    headers,
    method,
    bodySize,
    bodyDigest,
    allowance: new AttemptAllowance(place.context.allowance),
    grantedByParent: 0,
    startedMs: nowMs,
    state: 'waitingForRate',
    tried: new Set(),
    redirects: 0,
    mayHaveRun: false,
    ...(keyDigest === undefined ? {} : { keyDigest }),
    ...(once === undefined ? {} : { once }),
    ...(attemptId === undefined ? {} : { attemptId }),
    ...place,
  };
}
