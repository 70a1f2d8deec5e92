import { matchRoute, type Bundle, type Route } from '@tanagerpond/bundle';
import { Result } from 'true-myth';
import type { ReceivedRequest, HeaderPair } from '../../process/node/NodeMessage.js';
import { parseTicket } from '../../process/deduplication/index.js';
import * as identity from '../identity/index.js';
import { createRefusal, type Refusal } from '../refusals.js';
import type { IdempotencyKey } from './OutboundCall.js';

const TICKET_HEADER = 'tanagerpond-ticket';

/**
 * Header with a caller's own id of the attempt, different for each attempt; not all callers send it. On a
 * non-repeatable route it serves as the idempotency key of a request without a ticket.
 */
const ATTEMPT_HEADER = 'tanagerpond-attempt';

/** Header that forwards the host of the request, if the bundle selects routes by host. */
const HOST_HEADER = 'tanagerpond-host';

interface FoundRoute {
  readonly route: Route;
  readonly target: string;
  /** Headers that the backend server gets in addition to the caller's. */
  readonly headers: readonly HeaderPair[];
}

/** A request that has passed every check before load and rates are considered. */
export interface AdmittedRequest {
  readonly route: Route;
  /**
   * Path and query that the backend server gets; the service segment is removed unless the bundle selects routes by
   * host.
   */
  readonly target: string;
  readonly headers: readonly HeaderPair[];
  readonly workspace: string;
  readonly keyDigest?: string;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
  readonly idempotencyKey?: IdempotencyKey;
  /** Attempt id sent by the caller, if any. */
  readonly attemptId?: string;
}

/**
 * Checks a caller's request against the active bundle: route, API key, exposed keys, sizes, deadline and ticket.
 * @param bundle - Active bundle.
 * @param request - Request whose body is completely received.
 * @param draw - Returns a random number in [0, 1), which selects the service of a route with a traffic split.
 * @param nowMs - Monotonic time, in milliseconds.
 * @returns The checked request, or the first refusal found.
 */
export function admitCaller(
  bundle: Bundle,
  request: ReceivedRequest,
  draw: () => number,
  nowMs: number,
): Result<AdmittedRequest, Refusal> {
  const waitedMs = nowMs - request.arrivedMs;
  return findRoute(bundle, request, draw)
    .andThen((found) => checkRequest(bundle, request, found))
    .andThen((admitted) => subtractWait(admitted, waitedMs));
}

/**
 * Checks that no part of a request contains an API key and that its body is within the limit of the route.
 * @param request - Request whose body is completely received.
 * @param route - Route of the request.
 * @param forwarded - Headers that would be forwarded.
 */
export function checkContent(
  request: ReceivedRequest,
  route: Route,
  forwarded: readonly HeaderPair[],
): Result<true, Refusal> {
  const exposed = identity.findExposedKey(request, forwarded);
  if (exposed !== undefined) {
    return Result.err(createRefusal('keyExposed', { detail: exposed }));
  }
  if (request.bodySize > route.maxBody) {
    return Result.err(createRefusal('bodyTooLarge', { detail: `max-body ${route.maxBody}` }));
  }
  return Result.ok(true as const);
}

function checkRequest(
  bundle: Bundle,
  request: ReceivedRequest,
  { route, target, headers: added }: FoundRoute,
): Result<AdmittedRequest, Refusal> {
  const forwarded = identity.selectForwardedHeaders(request.headers);
  return identity.identifyWorkspace(bundle, request.headers, route).andThen((caller) =>
    checkContent(request, route, forwarded)
      .andThen(() => identity.readDeadline(bundle.fleet, request.headers))
      .andThen((remainingMs) =>
        readIdempotencyKey(request, route).map((idempotencyKey) => ({
          route,
          target,
          headers: forwarded.concat(added),
          remainingMs: Math.min(remainingMs, route.timeoutMs ?? remainingMs),
          ...caller,
          ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
          ...readAttemptId(request),
        })),
      ),
  );
}

/** Subtracts the time for which a request has waited in this node from the time until its deadline. */
function subtractWait(
  admitted: AdmittedRequest,
  waitedMs: number,
): Result<AdmittedRequest, Refusal> {
  const remainingMs = admitted.remainingMs - waitedMs;
  return remainingMs > 0
    ? Result.ok({ ...admitted, remainingMs })
    : Result.err(createRefusal('deadlineExpired'));
}

function findRoute(
  bundle: Bundle,
  { method, target, headers }: ReceivedRequest,
  draw: () => number,
): Result<FoundRoute, Refusal> {
  if (bundle.hostRoutes === undefined) {
    const matched = matchRoute(bundle, method, target);
    return matched === undefined
      ? Result.err(createRefusal('routeUnknown'))
      : Result.ok({ route: matched.route, target: matched.backendTarget, headers: [] });
  }
  const host = identity.readHeader(headers, 'host');
  if (host.kind !== 'present') {
    return Result.err(createRefusal('routeUnknown'));
  }
  const matched = bundle.hostRoutes.match(host.value, target, draw);
  if (matched.kind === 'found') {
    return Result.ok({ route: matched.route, target, headers: [[HOST_HEADER, host.value]] });
  }
  return Result.err(
    createRefusal(matched.kind === 'unsupported' ? 'configurationUnsupported' : 'routeUnknown', {
      detail: 'route',
    }),
  );
}

function readIdempotencyKey(
  request: ReceivedRequest,
  route: Route,
): Result<IdempotencyKey | undefined, Refusal> {
  const header = identity.readHeader(request.headers, TICKET_HEADER);
  if (route.repeatable) {
    return Result.ok(undefined);
  }
  if (header.kind === 'absent') {
    const { attemptId } = readAttemptId(request);
    return Result.ok(
      attemptId === undefined ? undefined : { kind: 'own', id: `caller ${attemptId}` },
    );
  }
  const parsed = header.kind === 'present' ? parseTicket(header.value) : undefined;
  if (header.kind === 'repeated' || parsed === undefined) {
    return Result.err(createRefusal('ticketInvalid', { detail: TICKET_HEADER }));
  }
  const { vm, incarnation } = parsed.ticket;
  return Result.ok({ kind: 'ticket', text: header.value, vm, incarnation });
}

function readAttemptId({ headers }: ReceivedRequest): { readonly attemptId?: string } {
  const attempt = identity.readHeader(headers, ATTEMPT_HEADER);
  return attempt.kind === 'present' ? { attemptId: attempt.value } : {};
}
