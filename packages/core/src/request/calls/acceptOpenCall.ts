import type { OpenCall } from '@tanagerpond/wire';
import {
  LARGEST_BODY_BYTES,
  LOWEST_PRIORITY_CLASS,
  type Bundle,
  type Route,
} from '@tanagerpond/bundle';
import { Result } from 'true-myth';
import type { HeaderPair } from '../../process/node/NodeMessage.js';
import type { NodeServices } from '../../process/node/NodeServices.js';
import { createRefusal, type Refusal } from '../refusals.js';

/**
 * Time for which the deduplication record of a call without a ticket is kept beyond the longest deadline, in
 * milliseconds.
 */
const OWN_RECORD_MARGIN_MS = 60_000;

/** Defaults for a route that the active bundle does not have; its size limits are the largest that a route may have. */
const UNKNOWN_ROUTE: Omit<Route, 'name' | 'service' | 'repeatable'> = {
  method: 'GET',
  path: '/',
  priority: LOWEST_PRIORITY_CLASS,
  open: false,
  calls: [],
  cost: 1,
  maxBody: LARGEST_BODY_BYTES,
  maxAnswer: LARGEST_BODY_BYTES,
};

/**
 * Key of the deduplication record of a non-repeatable call, digest of its request (method, target and body digest), and
 * monotonic time at which the record expires.
 */
export interface DeduplicationKey {
  readonly id: string;
  readonly digest: string;
  readonly expiryMs: number;
}

/** A call that has passed every check that needs no table. */
export interface AcceptedCall {
  readonly route: Route;
  readonly fingerprint: string;
  readonly headers: readonly HeaderPair[];
  readonly deduplicationKey?: DeduplicationKey;
}

/**
 * Checks an `OpenCall` frame: route, service and, for non-repeatable calls, the incarnation and the ticket or id.
 * @param services - Services shared by the parts of this node.
 * @param bundle - Active bundle.
 * @param frame - Received frame.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function acceptOpenCall(
  services: NodeServices,
  bundle: Bundle,
  frame: OpenCall,
  nowMs: number,
): Result<AcceptedCall, Refusal> {
  const route = resolveRoute(bundle, frame);
  if (route === undefined) {
    return Result.err(
      createRefusal('routeUnknown', { detail: `bundle version ${bundle.version}` }),
    );
  }
  if (route.service !== services.self.service) {
    return Result.err(createRefusal('vmUnknown', { detail: 'service' }));
  }
  const digest = describeRequest(frame);
  const accepted = {
    route,
    fingerprint: `${route.name} ${digest}`,
    headers: frame.headers.map(({ name, value }): HeaderPair => [name, value]),
  };
  if (route.repeatable) {
    return Result.ok(accepted);
  }
  return readDeduplicationKey(services, bundle, frame, digest, nowMs).map((deduplicationKey) => ({
    ...accepted,
    deduplicationKey,
  }));
}

/**
 * Finds the route of a call. The sender's bundle may be newer or older than the active one, so the service and the
 * repeatability in the frame take precedence over a route that is unknown or different here.
 */
function resolveRoute(bundle: Bundle, frame: OpenCall): Route | undefined {
  const { service, repeatable } = frame;
  const known = bundle.routes.get(frame.context?.route ?? '');
  const isSame = known?.service === service && known.repeatable === repeatable;
  if (service === '' || isSame) {
    return known;
  }
  const name = frame.context?.route ?? '';
  return { ...UNKNOWN_ROUTE, ...known, name, service, repeatable };
}

function readDeduplicationKey(
  services: NodeServices,
  bundle: Bundle,
  frame: OpenCall,
  digest: string,
  nowMs: number,
): Result<DeduplicationKey, Refusal> {
  const { targetIncarnation } = frame;
  if (targetIncarnation !== '' && targetIncarnation !== services.self.incarnation) {
    return Result.err(createRefusal('incarnationGone'));
  }
  if (frame.ticket !== '') {
    return readTicketKey(services, frame, digest, nowMs);
  }
  if (frame.onceId === '') {
    return Result.err(createRefusal('ticketRequired'));
  }
  const expiryMs = nowMs + bundle.fleet.maxDeadlineMs + OWN_RECORD_MARGIN_MS;
  return Result.ok({ id: `own ${frame.onceId}`, digest, expiryMs });
}

function readTicketKey(
  services: NodeServices,
  frame: OpenCall,
  digest: string,
  nowMs: number,
): Result<DeduplicationKey, Refusal> {
  const { workspace = '', route = '' } = frame.context ?? {};
  const check = services.tickets.check(frame.ticket, workspace, route, nowMs);
  if (check.kind === 'valid') {
    const { id, expiryMs } = check.ticket;
    return Result.ok({ id: `ticket ${id}`, digest, expiryMs });
  }
  return Result.err(createRefusal(check.kind === 'expired' ? 'ticketExpired' : 'ticketInvalid'));
}

function describeRequest(frame: OpenCall): string {
  return `${frame.method} ${frame.target} ${Buffer.from(frame.bodyDigest).toString('hex')}`;
}
