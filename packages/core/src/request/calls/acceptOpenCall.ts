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

/** Margin over the longest deadline for which the record of a backend server's own call lasts, in milliseconds. */
const OWN_RECORD_MARGIN_MS = 60_000;

/** What holds for a route that this node does not know; limits are those that a route may have at most. */
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

/** Identity and digest under which a call runs at most once. */
export interface DeduplicationKey {
  readonly id: string;
  readonly digest: string;
  readonly expiryMs: number;
}

/** A frame that starts a call, after every check that needs no table. */
export interface AcceptedCall {
  readonly route: Route;
  readonly fingerprint: string;
  readonly headers: readonly HeaderPair[];
  readonly deduplicationKey?: DeduplicationKey;
}

/**
 * Checks a frame that starts a call: route, service, and for calls that run at most once the ticket or id and the
 * incarnation.
 * @param services - What the call tables share.
 * @param bundle - Bundle in force.
 * @param frame - Frame of a peer.
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

/** The sender's bundle may be newer or older, so the route may be unknown here or lead to another service. */
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
