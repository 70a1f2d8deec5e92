import type { Bundle } from '@tanagerpond/bundle';
import type { Refused } from '@tanagerpond/wire';
import type { Result } from 'true-myth';
import type { ArrivedRequest } from '../../process/node/NodeMessage.js';
import type * as pressure from '../../process/pressure/index.js';
import type { NodeServices } from '../../process/node/NodeServices.js';
import { computeRetryAfter } from '../computeRetryAfter.js';
import { createRefusal, type Refusal, type RefusalReason } from '../refusals.js';
import { admitCaller, type AdmittedRequest } from './admitCaller.js';
import { admitEgress } from './admitEgress.js';
import type { AttemptSender } from './AttemptSender.js';
import { computePriorityClass } from './computePriorityClass.js';
import { createShedLog } from './createShedLog.js';
import { createEntryCall, type EntryPlace } from './createEntryCall.js';
import type { OutboundAttempts } from './OutboundAttempts.js';
import type { OutboundCall } from './OutboundCall.js';
import type { OutboundCallCloser } from './OutboundCallCloser.js';
import type { OutboundCallTable } from './OutboundCallTable.js';
import type { InboundCall } from './InboundCall.js';
import type { InboundCallTable } from './InboundCallTable.js';
import type { TicketRequests } from './TicketRequests.js';

/** Time after which a starting node is worth another try, in milliseconds. */
const STARTING_RETRY_MS = 500;

/** Parts that the entry side of a node consists of. */
export interface EntryParts {
  readonly table: OutboundCallTable;
  readonly exits: InboundCallTable;
  readonly sender: AttemptSender;
  readonly closer: OutboundCallCloser;
  readonly attempts: OutboundAttempts;
  readonly ticketRequests: TicketRequests;
}

/** Takes requests in: from callers and from the own backend server. */
export class EntryCalls {
  readonly #services: NodeServices;

  readonly #parts: EntryParts;

  #hasNewRateWait = false;

  /**
   * @param services - What the call tables share.
   * @param parts - Parts of the entry side.
   */
  constructor(services: NodeServices, parts: EntryParts) {
    this.#services = services;
    this.#parts = parts;
  }

  /**
   * Takes a caller's request.
   * @param request - Request with its body assembled.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receiveCaller(request: ArrivedRequest, nowMs: number): void {
    const bundle = this.#services.findBundle();
    if (bundle === undefined) {
      this.#refuseRequest(request, this.#createStartingRefusal());
      return;
    }
    admitCaller(bundle, request, () => this.#services.random.next()).match({
      Ok: (admitted) => this.#startCallerCall(bundle, request, admitted, nowMs),
      Err: (refusal) => this.#refuseRequest(request, refusal),
    });
  }

  /**
   * Takes an outgoing call of the own backend server.
   * @param request - Request with its body assembled.
   * @param callToken - Token of the call that the backend server runs.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receiveEgress(request: ArrivedRequest, callToken: string, nowMs: number): void {
    const bundle = this.#services.findBundle();
    const parent = this.#parts.exits.findByToken(callToken);
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
   * Ends the call of a requester that is gone.
   * @param requestId - Its request.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  dropRequester(requestId: string, nowMs: number): void {
    const call = this.#parts.table.find(requestId);
    if (call !== undefined) {
      this.#parts.closer.closeAbandoned(call, nowMs);
    }
  }

  /** Tells whether a call has begun to wait for a rate token since this was last asked. */
  takeNewRateWait(): boolean {
    const hasNew = this.#hasNewRateWait;
    this.#hasNewRateWait = false;
    return hasNew;
  }

  /**
   * Goes on with a call that got its rate token.
   * @param requestId - Its request.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordRateGranted(requestId: string, nowMs: number): void {
    const call = this.#parts.table.find(requestId);
    if (call?.state === 'waitingForRate') {
      this.#parts.attempts.send(call, nowMs);
    }
  }

  /**
   * Refuses a call that got no rate token.
   * @param requestId - Its request.
   * @param retryAfterMs - Time after which a token may be there, in milliseconds.
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
   * Handles a refusal by a peer, of a call or of a ticket request.
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
   * Refuses waiting calls whose key is no longer in force.
   * @param bundle - Bundle that has just come into force.
   */
  recheckKeys(bundle: Bundle): void {
    this.#parts.table
      .list()
      .filter((call) => call.state !== 'attempting' && !hasValidKey(bundle, call))
      .forEach((call) => this.#parts.closer.refuse(call, createUnproved(call, 'keyUnknown')));
  }

  /**
   * Ends calls whose deadline has passed.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    this.#advanceTrees(nowMs);
    this.#parts.table
      .list()
      .filter((call) => nowMs >= call.context.deadlineMs)
      .forEach((call) => this.#expire(call, nowMs));
  }

  #advanceTrees(nowMs: number): void {
    const { trees, outbox } = this.#services;
    trees?.admission.advance(nowMs);
    trees?.admission.takeChanges(nowMs).forEach((change) => outbox.add(createShedLog(change)));
  }

  #startCallerCall(
    bundle: Bundle,
    request: ArrivedRequest,
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
    const verdict = this.#decide(call, admitted, nowMs);
    if (!verdict.admitted) {
      const { retryAfterMs } = verdict;
      const refusal = createRefusal('overloaded', { retryAfterMs, detail: verdict.service });
      this.#parts.attempts.refuseWithProof(call, refusal, nowMs);
      return;
    }
    if (!admitted.route.repeatable && call.once === undefined) {
      this.#parts.ticketRequests.send(call, nowMs);
      return;
    }
    this.#requestRate(call, nowMs);
  }

  /** Outgoing calls of backend servers that name no parent belong to trees that were admitted before. */
  #decide(call: OutboundCall, admitted: AdmittedRequest, nowMs: number): pressure.PressureDecision {
    const { trees, pressure: table } = this.#services;
    const { route, workspace, keyDigest } = admitted;
    const { priority } = call.context;
    if (trees === undefined) {
      return table.decide([route.service], priority, nowMs, workspace);
    }
    if (!route.open || keyDigest !== undefined) {
      return trees.admission.decide(route.name, priority, nowMs);
    }
    trees.ratios.recordCall(route.name);
    return { admitted: true };
  }

  #requestRate(call: OutboundCall, nowMs: number): void {
    const { shares, findBundle } = this.#services;
    const workspace = findBundle()?.workspaces.get(call.context.workspace);
    if (workspace?.unmetered === true) {
      this.#parts.attempts.send(call, nowMs);
      return;
    }
    if (shares.request(call.context.workspace, call.requestId, nowMs) === 'granted') {
      this.#parts.attempts.send(call, nowMs);
      return;
    }
    this.#hasNewRateWait = true;
  }

  #startEgressCall(
    request: ArrivedRequest,
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
      call.once = { kind: 'own', id: this.#parts.sender.createId() };
    }
    this.#services.trees?.ratios.recordCall(admitted.route.name);
    parent.children.add(call.requestId);
    parent.calledServices.add(admitted.route.service);
    this.#parts.attempts.send(call, nowMs);
  }

  #addCall(
    request: ArrivedRequest,
    admitted: AdmittedRequest,
    nowMs: number,
    place: EntryPlace,
  ): OutboundCall {
    const call = createEntryCall(request, admitted, nowMs, place);
    this.#parts.table.add(call);
    return call;
  }

  /** An earlier send of the same ticket may have run, so that nothing refused here is "not run". */
  #refuseRequest(request: ArrivedRequest, refusal: Refusal): void {
    const hasTicket = request.headers.some((header) => header[0] === 'tanagerpond-ticket');
    this.#parts.closer.refuseRequest(
      request.requestId,
      hasTicket && refusal.outcome === 'notRun' ? { ...refusal, outcome: 'unknown' } : refusal,
    );
    this.#services.outbox.add({ kind: 'releaseBody', bodyOf: request.requestId });
  }

  #expire(call: OutboundCall, nowMs: number): void {
    const { closer } = this.#parts;
    if (call.state !== 'attempting') {
      closer.refuse(call, createUnproved(call, 'deadlineExpired'));
      return;
    }
    closer.cancelAttempt(call, nowMs);
    closer.refuse(call, createRefusal('deadlinePassedWhileRunning'));
  }

  #createStartingRefusal(): Refusal {
    const retryAfterMs = computeRetryAfter(STARTING_RETRY_MS, this.#services.random);
    return createRefusal('starting', { retryAfterMs });
  }
}

/** Refuses a call that this node did not send; an earlier send of its ticket may have run. */
function createUnproved(call: OutboundCall, reason: RefusalReason): Refusal {
  const outcome = call.once?.kind === 'ticket' ? 'unknown' : 'notRun';
  return createRefusal(reason, { outcome });
}

function hasValidKey(bundle: Bundle, call: OutboundCall): boolean {
  return (
    call.keyDigest === undefined ||
    bundle.workspaceByKeyDigest.get(call.keyDigest) === call.context.workspace
  );
}
