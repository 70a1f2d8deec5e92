import type { Bundle } from '@tanagerpond/bundle';
import type { Refused } from '@tanagerpond/wire';
import { Result } from 'true-myth';
import type { ReceivedRequest } from '../../process/node/NodeMessage.js';
import type * as backpressure from '../../process/backpressure/index.js';
import type { NodeServices } from '../../process/node/NodeServices.js';
import { computeRetryAfter } from '../computeRetryAfter.js';
import { createRefusal, type Refusal, type RefusalReason } from '../refusals.js';
import { admitCaller, type AdmittedRequest } from './admitCaller.js';
import { admitEgress } from './admitEgress.js';
import type { AttemptSender } from './AttemptSender.js';
import { computePriorityClass } from './computePriorityClass.js';
import { createShedLog } from './createShedLog.js';
import { createOutboundCall, type CallTreePosition } from './createOutboundCall.js';
import type { OutboundAttempts } from './OutboundAttempts.js';
import type { OutboundCall } from './OutboundCall.js';
import type { OutboundCallCloser } from './OutboundCallCloser.js';
import type { OutboundCallTable } from './OutboundCallTable.js';
import type { InboundCall } from './InboundCall.js';
import type { InboundCallTable } from './InboundCallTable.js';
import type { TicketRequests } from './TicketRequests.js';

/** Base of the jittered `retry-after` of refused requests that were not sent, in milliseconds, by reason. */
const RETRY_AFTER_MS: Readonly<Partial<Record<RefusalReason, number>>> = {
  starting: 500,
  // Long, because only another version of the configuration or of the node changes it.
  configurationUnsupported: 5_000,
  leaving: 1_000,
};

/** Parts of the outbound side of a node. */
export interface OutboundParts {
  readonly table: OutboundCallTable;
  readonly inboundCalls: InboundCallTable;
  readonly sender: AttemptSender;
  readonly closer: OutboundCallCloser;
  readonly attempts: OutboundAttempts;
  readonly ticketRequests: TicketRequests;
}

/** Checks the requests of callers and of the local backend server, and starts their outbound calls. */
export class OutboundCallHandler {
  readonly #services: NodeServices;

  readonly #parts: OutboundParts;

  #hasNewRateWait = false;

  /**
   * @param services - Services shared by the parts of this node.
   * @param parts - Parts of the outbound side.
   */
  constructor(services: NodeServices, parts: OutboundParts) {
    this.#services = services;
    this.#parts = parts;
  }

  /**
   * Starts the call of a caller's request, or refuses the request.
   * @param request - Request whose body is completely received.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receiveCallerRequest(request: ReceivedRequest, nowMs: number): void {
    const bundle = this.#services.findBundle();
    if (bundle === undefined) {
      this.#refuseRequest(request, this.#addRetryAfter(createRefusal('starting')));
      return;
    }
    admitCaller(bundle, request, () => this.#services.random.next(), nowMs)
      .andThen((admitted) => this.#limitToStop(admitted, nowMs))
      .match({
        Ok: (admitted) => this.#startCallerCall(bundle, request, admitted, nowMs),
        Err: (refusal) => this.#refuseRequest(request, this.#addRetryAfter(refusal)),
      });
  }

  /**
   * Starts an outgoing call of the local backend server, or refuses the request.
   * @param request - Request whose body is completely received.
   * @param callToken - Token of the running call that makes the outgoing call; an unknown token is refused as
   * `parentUnknown`.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receiveEgressRequest(request: ReceivedRequest, callToken: string, nowMs: number): void {
    const bundle = this.#services.findBundle();
    const parent = this.#parts.inboundCalls.findByToken(callToken);
    if (bundle === undefined || parent?.state !== 'running') {
      this.#refuseRequest(request, createRefusal('parentUnknown', { detail: 'tanagerpond-call' }));
      return;
    }
    const admitted: Result<AdmittedRequest, Refusal> = admitEgress(bundle, request, parent, nowMs);
    admitted.match({
      Ok: (value) => this.#startEgressCall(request, value, parent, nowMs),
      Err: (refusal) => this.#refuseRequest(request, refusal),
    });
  }

  /**
   * Closes the call of a requester that has disconnected.
   * @param requestId - Id of its request.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordRequesterGone(requestId: string, nowMs: number): void {
    const call = this.#parts.table.find(requestId);
    if (call !== undefined) {
      this.#parts.closer.closeAbandoned(call, nowMs);
    }
  }

  /** Returns whether a call has started to wait for a rate token since this method was last called. */
  takeNewRateWait(): boolean {
    const hasNew = this.#hasNewRateWait;
    this.#hasNewRateWait = false;
    return hasNew;
  }

  /**
   * Sends the first attempt of a call whose rate token was granted.
   * @param requestId - Id of its request.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordRateGranted(requestId: string, nowMs: number): void {
    const call = this.#parts.table.find(requestId);
    if (call?.state === 'waitingForRate') {
      this.#parts.attempts.send(call, nowMs);
    }
  }

  /**
   * Refuses a call whose rate token was denied.
   * @param requestId - Id of its request.
   * @param retryAfterMs - Time after which a token may be available, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordRateDenied(requestId: string, retryAfterMs: number, nowMs: number): void {
    const call = this.#parts.table.find(requestId);
    if (call?.state !== 'waitingForRate') {
      return;
    }
    const refusal = createRefusal('rateExceeded', {
      retryAfterMs: Math.round(retryAfterMs),
      detail: `workspace ${call.context.workspace}`,
    });
    this.#parts.attempts.refuseWithProof(call, refusal, nowMs);
  }

  /**
   * Handles the refusal of an attempt or of a ticket request by a peer.
   * @param peer - VM that refused.
   * @param refused - The refusal.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receiveRefused(peer: string, refused: Refused, nowMs: number): void {
    if (!this.#parts.ticketRequests.receiveRefused(peer, refused.callId, nowMs)) {
      this.#parts.attempts.receiveRefused(peer, refused, nowMs);
    }
  }

  /**
   * Refuses calls whose API key no longer belongs to their workspace, unless an attempt is under way.
   * @param bundle - Bundle that has just become active.
   */
  refuseRevokedKeys(bundle: Bundle): void {
    this.#parts.table
      .list()
      .filter((call) => call.state !== 'attempting' && !hasValidKey(bundle, call))
      .forEach((call) => this.#parts.closer.refuse(call, createUnsentRefusal(call, 'keyUnknown')));
  }

  /**
   * Advances the load shedding by call trees, and refuses calls whose deadline has passed; their attempts are
   * cancelled.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    this.#advanceTrees(nowMs);
    this.#parts.table
      .list()
      .filter((call) => nowMs >= call.context.deadlineMs)
      .forEach((call) => this.#expire(call, nowMs));
  }

  /** Refuses a request that a planned stop would cut off, and ends the others before that. */
  #limitToStop(admitted: AdmittedRequest, nowMs: number): Result<AdmittedRequest, Refusal> {
    const { remainingMs, route } = admitted;
    if (!this.#services.canFinish(remainingMs, route.repeatable, nowMs)) {
      return Result.err(createRefusal('leaving'));
    }
    const stopMs = this.#services.measureStopRemainingMs(nowMs);
    return Result.ok({ ...admitted, remainingMs: Math.min(remainingMs, stopMs) });
  }

  #advanceTrees(nowMs: number): void {
    const { callTrees, outbox } = this.#services;
    callTrees?.admission.advance(nowMs);
    callTrees?.admission.takeChanges(nowMs).forEach((change) => outbox.add(createShedLog(change)));
  }

  #startCallerCall(
    bundle: Bundle,
    request: ReceivedRequest,
    admitted: AdmittedRequest,
    nowMs: number,
  ): void {
    const rootId = this.#parts.sender.createId();
    const call = this.#addCall(request, admitted, nowMs, {
      context: {
        rootId,
        workspace: admitted.workspace,
        route: admitted.route.name,
        priority: computePriorityClass(bundle, admitted.route, admitted.workspace),
        deadlineMs: nowMs + admitted.remainingMs,
        allowance: bundle.fleet.extraAttempts,
        depth: 1,
        bundleVersion: bundle.version,
        originService: this.#services.self.service,
      },
    });
    const decision = this.#decide(call, admitted, nowMs);
    if (!decision.admitted) {
      const { retryAfterMs } = decision;
      const refusal = createRefusal('overloaded', { retryAfterMs, detail: decision.service });
      this.#parts.attempts.refuseWithProof(call, refusal, nowMs);
      return;
    }
    if (!admitted.route.repeatable && call.idempotencyKey === undefined) {
      this.#parts.ticketRequests.send(call, nowMs);
      return;
    }
    this.#requestRate(call, nowMs);
  }

  /**
   * Decides whether the load admits a call. With load shedding by call trees, requests without a key on open routes are
   * always admitted: they are outgoing calls of backend servers that name no parent, and their trees were admitted
   * before.
   */
  #decide(
    call: OutboundCall,
    admitted: AdmittedRequest,
    nowMs: number,
  ): backpressure.BackpressureDecision {
    const { callTrees, backpressure } = this.#services;
    const { route, workspace, keyDigest } = admitted;
    const { priority } = call.context;
    if (callTrees === undefined) {
      return backpressure.decide([route.service], priority, nowMs, workspace);
    }
    if (!route.open || keyDigest !== undefined) {
      return callTrees.admission.decide(route.name, priority, nowMs);
    }
    callTrees.ratios.recordCall(route.name);
    return { admitted: true };
  }

  #requestRate(call: OutboundCall, nowMs: number): void {
    const { rateLimiter, findBundle } = this.#services;
    const workspace = findBundle()?.workspaces.get(call.context.workspace);
    if (workspace?.unmetered === true) {
      this.#parts.attempts.send(call, nowMs);
      return;
    }
    if (rateLimiter.request(call.context.workspace, call.requestId, nowMs) === 'granted') {
      this.#parts.attempts.send(call, nowMs);
      return;
    }
    this.#hasNewRateWait = true;
  }

  #startEgressCall(
    request: ReceivedRequest,
    admitted: AdmittedRequest,
    parent: InboundCall,
    nowMs: number,
  ): void {
    const granted = parent.allowance.grantToChild(true);
    const call = this.#addCall(request, admitted, nowMs, {
      parentCallId: parent.callId,
      grantedByParent: granted,
      context: {
        ...parent.context,
        route: admitted.route.name,
        priority: Math.min(parent.context.priority, admitted.route.priority),
        allowance: granted,
        depth: parent.context.depth + 1,
        originService: this.#services.self.service,
      },
    });
    if (!admitted.route.repeatable) {
      call.idempotencyKey = { kind: 'own', id: this.#parts.sender.createId() };
    }
    this.#services.callTrees?.ratios.recordCall(admitted.route.name);
    parent.children.add(call.requestId);
    parent.calledServices.add(admitted.route.service);
    this.#parts.attempts.send(call, nowMs);
  }

  #addCall(
    request: ReceivedRequest,
    admitted: AdmittedRequest,
    nowMs: number,
    position: CallTreePosition,
  ): OutboundCall {
    const call = createOutboundCall(request, admitted, nowMs, position);
    this.#parts.table.add(call);
    return call;
  }

  /**
   * Refuses a request for which no call was created. A request with a ticket may have run when it was sent before, so
   * that `unknown` replaces `notRun`.
   */
  #refuseRequest(request: ReceivedRequest, refusal: Refusal): void {
    const hasTicket = request.headers.some((header) => header[0] === 'tanagerpond-ticket');
    this.#parts.closer.sendRefusal(
      request.requestId,
      hasTicket && refusal.outcome === 'notRun' ? { ...refusal, outcome: 'unknown' } : refusal,
    );
    this.#services.outbox.add({ kind: 'releaseBody', bodyOf: request.requestId });
  }

  #expire(call: OutboundCall, nowMs: number): void {
    const { closer } = this.#parts;
    if (call.state !== 'attempting') {
      closer.refuse(call, createUnsentRefusal(call, 'deadlineExpired'));
      return;
    }
    closer.cancelAttempt(call, nowMs);
    closer.refuse(call, createRefusal('deadlinePassedWhileRunning'));
  }

  #addRetryAfter(refusal: Refusal): Refusal {
    const baseMs = RETRY_AFTER_MS[refusal.reason];
    return baseMs === undefined
      ? refusal
      : { ...refusal, retryAfterMs: computeRetryAfter(baseMs, this.#services.random) };
  }
}

/**
 * Creates the refusal of a call that this node has not sent. With a ticket, the outcome is `unknown`, because a request
 * with the same ticket may have run before.
 */
function createUnsentRefusal(call: OutboundCall, reason: RefusalReason): Refusal {
  const outcome = call.idempotencyKey?.kind === 'ticket' ? 'unknown' : 'notRun';
  return createRefusal(reason, { outcome });
}

function hasValidKey(bundle: Bundle, call: OutboundCall): boolean {
  return (
    call.keyDigest === undefined ||
    bundle.workspaceByKeyDigest.get(call.keyDigest) === call.context.workspace
  );
}
