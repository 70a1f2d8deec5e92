import { matchRoute, type Bundle } from '@tanagerpond/bundle';
import { Result } from 'true-myth';
import type { ReceivedRequest } from '../../process/node/NodeMessage.js';
import * as identity from '../identity/index.js';
import { createRefusal, type Refusal } from '../refusals.js';
import type { AdmittedRequest } from './admitCaller.js';
import { checkContent } from './admitCaller.js';
import type { InboundCall } from './InboundCall.js';

/**
 * Checks an outgoing call of the local backend server against its parent call: route, declared calls, depth, deadline,
 * exposed keys and size.
 * @param bundle - Active bundle.
 * @param request - Request whose body is completely received.
 * @param parent - Running call that makes the outgoing call.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function admitEgress(
  bundle: Bundle,
  request: ReceivedRequest,
  parent: InboundCall,
  nowMs: number,
): Result<AdmittedRequest, Refusal> {
  const matched = matchRoute(bundle, request.method, request.target);
  if (matched === undefined) {
    return Result.err(createRefusal('routeUnknown'));
  }
  const { route, backendTarget: target } = matched;
  if (!parent.route.calls.includes(route.name)) {
    return Result.err(createRefusal('callNotDeclared', { detail: route.name }));
  }
  if (parent.context.depth >= bundle.fleet.maxDepth) {
    return Result.err(
      createRefusal('depthExceeded', { detail: `max-depth ${bundle.fleet.maxDepth}` }),
    );
  }
  const remainingMs = parent.context.deadlineMs - nowMs;
  if (remainingMs <= 0) {
    return Result.err(createRefusal('deadlineExpired'));
  }
  const headers = identity.selectForwardedHeaders(request.headers);
  return checkContent(request, route, headers).map(() => ({
    route,
    target,
    headers,
    workspace: parent.context.workspace,
    remainingMs,
  }));
}
