import { matchRoute, type Bundle, type Route } from '@tanagerpond/bundle';
import { Result } from 'true-myth';
import type { ArrivedRequest, HeaderPair } from '../../process/node/NodeMessage.js';
import { parseTicket } from '../../process/once/index.js';
import * as identity from '../identity/index.js';
import { createRefusal, type Refusal } from '../refusals.js';
import type { OnceIdentity } from './OutboundCall.js';

const TICKET_HEADER = 'tanagerpond-ticket';

/** Id of one attempt of a caller, from an edge whose callers give each attempt an id of its own. */
const ATTEMPT_HEADER = 'tanagerpond-attempt';

/** Host of the request, where the bundle selects routes by it. */
const HOST_HEADER = 'tanagerpond-host';

interface FoundRoute {
  readonly route: Route;
  readonly target: string;
  /** Headers that the backend server gets besides the caller's. */
  readonly headers: readonly HeaderPair[];
}

/** A caller's request after every check that needs only the bundle in force. */
export interface AdmittedRequest {
  readonly route: Route;
  /** Path and query below the service segment. */
  readonly target: string;
  readonly headers: readonly HeaderPair[];
  readonly workspace: string;
  readonly keyDigest?: string;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
  readonly once?: OnceIdentity;
  /** Id that the caller gave to the attempt, where the edge has one. */
  readonly attemptId?: string;
}

/**
 * Checks a caller's request against the bundle in force: route, key, exposed keys, sizes, deadline and ticket.
 * @param bundle - Bundle in force.
 * @param request - Request with its body assembled.
 * @param draw - Draws a random number in [0, 1), which chooses among the services of a split route.
 * @returns The request as it goes on, or the first refusal found.
 */
export function admitCaller(
  bundle: Bundle,
  request: ArrivedRequest,
  draw: () => number,
): Result<AdmittedRequest, Refusal> {
  const matched = findRoute(bundle, request, draw);
  if (matched === undefined) {
    return Result.err(createRefusal('routeUnknown'));
  }
  const { route, target, headers: added } = matched;
  const forwarded = identity.selectForwardedHeaders(request.headers);
  return identity.identifyWorkspace(bundle, request.headers, route).andThen((caller) =>
    checkContent(request, route, forwarded)
      .andThen(() => identity.readDeadline(bundle.fleet, request.headers))
      .andThen((remainingMs) =>
        readTicket(request, route).map((once) => ({
          route,
          target,
          headers: forwarded.concat(added),
          remainingMs: Math.min(remainingMs, route.timeoutMs ?? remainingMs),
          ...caller,
          ...(once === undefined ? {} : { once }),
          ...readAttemptId(request),
        })),
      ),
  );
}

/**
 * Checks that a request's body fits its route and that no part holds a key.
 * @param request - Request with its body assembled.
 * @param route - Route of the request.
 * @param forwarded - Headers that would pass on.
 */
export function checkContent(
  request: ArrivedRequest,
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

function findRoute(
  bundle: Bundle,
  { method, target, headers }: ArrivedRequest,
  draw: () => number,
): FoundRoute | undefined {
  if (bundle.hostRoutes === undefined) {
    const matched = matchRoute(bundle, method, target);
    return matched === undefined
      ? undefined
      : { route: matched.route, target: matched.backendTarget, headers: [] };
  }
  const host = identity.readHeader(headers, 'host');
  const route =
    host.kind === 'present' ? bundle.hostRoutes.match(host.value, target, draw) : undefined;
  return host.kind !== 'present' || route === undefined
    ? undefined
    : { route, target, headers: [[HOST_HEADER, host.value]] };
}

function readTicket(
  request: ArrivedRequest,
  route: Route,
): Result<OnceIdentity | undefined, Refusal> {
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

function readAttemptId({ headers }: ArrivedRequest): { readonly attemptId?: string } {
  const attempt = identity.readHeader(headers, ATTEMPT_HEADER);
  return attempt.kind === 'present' ? { attemptId: attempt.value } : {};
}
