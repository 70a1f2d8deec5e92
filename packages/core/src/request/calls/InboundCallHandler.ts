import type { Bundle } from '@tanagerpond/bundle';
import type { CancelCall, OpenCall } from '@tanagerpond/wire';
import type { NodeServices } from '../../process/node/NodeServices.js';
import type { DeduplicationState } from '../../process/deduplication/index.js';
import { computeRetryAfter } from '../computeRetryAfter.js';
import { createRefusal, isRefusalReason, type Refusal, type RefusalReason } from '../refusals.js';
import { acceptOpenCall, type AcceptedCall, type DeduplicationKey } from './acceptOpenCall.js';
import { AttemptAllowance } from './AttemptAllowance.js';
import type { BackendRuns } from './BackendRuns.js';
import type { InboundCall, ReplyAddress } from './InboundCall.js';
import type { InboundReplies } from './InboundReplies.js';
import type { InboundCallTable } from './InboundCallTable.js';

/** Maximum number of requesters that may wait for the run of one non-repeatable call. */
const REPLY_LIMIT = 8;

/** Base of the jittered `retry-after` of a refused call, in milliseconds. */
const RETRY_AFTER_MS = 500;

/** Refusal reason that replaces one of the sender which this version does not know. */
const UNKNOWN_REASON: RefusalReason = 'vmUnreachable';

/** Refusal reasons for a repeat, by the state in the deduplication table. */
const REPEAT_REASONS: Readonly<
  Record<Exclude<DeduplicationState['kind'], 'new' | 'answered'>, RefusalReason>
> = {
  inProgress: 'inProgress',
  answerNotKept: 'answerNotKept',
  unknown: 'backendFailed',
  void: 'ticketRequired',
  mismatch: 'ticketMismatch',
};

/** Refusal reasons that leave open whether an earlier call with the same ticket has run. */
const UNPROVED_REASONS: ReadonlySet<RefusalReason> = new Set([
  'starting',
  'routeUnknown',
  'vmUnknown',
]);

/** Receives calls for the local backend server, and deduplicates the non-repeatable ones. */
export class InboundCallHandler {
  readonly #services: NodeServices;

  readonly #table: InboundCallTable;

  readonly #replies: InboundReplies;

  readonly #runs: BackendRuns;

  /**
   * @param services - Services shared by the parts of this node.
   * @param table - Calls of the local backend server.
   * @param replies - Sends answers and refusals.
   * @param runs - Applies the decisions of the admission queue.
   */
  constructor(
    services: NodeServices,
    table: InboundCallTable,
    replies: InboundReplies,
    runs: BackendRuns,
  ) {
    this.#services = services;
    this.#table = table;
    this.#replies = replies;
    this.#runs = runs;
  }

  /**
   * Queues a call, answers it from the deduplication table, or refuses it.
   * @param peer - VM of the node that sends it.
   * @param frame - Frame that starts the call.
   * @param bodyOf - Name under which the host keeps the body of the request.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  open(peer: string, frame: OpenCall, bodyOf: string, nowMs: number): void {
    const bundle = this.#services.findBundle();
    const address = { peer, callId: frame.callId };
    if (bundle === undefined) {
      const refusal = toUnprovedRefusal(frame, createRefusal('starting'));
      this.#refuseUnaccepted(address, bodyOf, refusal, nowMs);
      return;
    }
    acceptOpenCall(this.#services, bundle, frame, nowMs).match({
      Ok: (accepted) => this.#admit(bundle, address, frame, accepted, bodyOf, nowMs),
      Err: (refusal) =>
        this.#refuseUnaccepted(address, bodyOf, toUnprovedRefusal(frame, refusal), nowMs),
    });
  }

  /**
   * Cancels a call for one requester, and ends it when no other requester waits. A running non-repeatable call keeps
   * running, so that its answer is stored for repeats.
   * @param peer - VM of the node that sent the call.
   * @param frame - Frame with the id of the call.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  cancel(peer: string, frame: CancelCall, nowMs: number): void {
    this.#table
      .list()
      .filter((call) => hasAddress(call, peer, frame.callId))
      .forEach((call) => this.#removeAddress(call, peer, frame.callId, nowMs));
  }

  /**
   * Cancels the calls of a peer whose link is lost, as `cancel` does.
   * @param peer - VM of the node.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordPeerLost(peer: string, nowMs: number): void {
    this.#table.list().forEach((call) => {
      const lost = call.replyTo.filter((address) => address.peer === peer);
      lost.forEach((address) => this.#removeAddress(call, peer, address.callId, nowMs));
    });
  }

  #admit(
    bundle: Bundle,
    address: ReplyAddress,
    frame: OpenCall,
    accepted: AcceptedCall,
    bodyOf: string,
    nowMs: number,
  ): void {
    const { deduplicationKey } = accepted;
    this.#services.admission.adoptRateLimit(frame.rateLimit, nowMs);
    if (deduplicationKey !== undefined && this.#answerRepeat(address, deduplicationKey, nowMs)) {
      this.#services.outbox.add({ kind: 'releaseBody', bodyOf });
      return;
    }
    const reason = this.#findRefusal(frame);
    if (reason !== undefined) {
      this.#refuseNew(address, deduplicationKey, reason, bodyOf, nowMs);
      return;
    }
    if (
      deduplicationKey !== undefined &&
      !this.#services.deduplication.begin(
        deduplicationKey.id,
        deduplicationKey.digest,
        deduplicationKey.expiryMs,
      )
    ) {
      this.#refuseUnaccepted(address, bodyOf, this.#createRefusal('ticketTableFull'), nowMs);
      return;
    }
    const call = this.#createCall(address, frame, accepted, bodyOf, nowMs);
    this.#table.add(call);
    this.#offer(bundle, call, nowMs);
  }

  /** Answers or refuses a repeat by the deduplication table. Returns false for an id that the table does not have. */
  #answerRepeat(address: ReplyAddress, deduplicationKey: DeduplicationKey, nowMs: number): boolean {
    const state = this.#services.deduplication.find(deduplicationKey.id, deduplicationKey.digest);
    if (state.kind === 'new') {
      return false;
    }
    if (state.kind === 'answered') {
      this.#replies.replay(address, state.answer, nowMs);
      return true;
    }
    if (state.kind === 'inProgress' && this.#join(address, deduplicationKey)) {
      return true;
    }
    this.#replies.refuse(address, createRefusal(REPEAT_REASONS[state.kind]), undefined, nowMs);
    return true;
  }

  /**
   * Lets a repeat wait for the call that is queued or running. Returns false when there is no such call or too many
   * requesters wait for it.
   */
  #join(address: ReplyAddress, deduplicationKey: DeduplicationKey): boolean {
    const call = this.#table.findByDeduplicationId(deduplicationKey.id);
    if (call === undefined || call.replyTo.length >= REPLY_LIMIT) {
      return false;
    }
    call.replyTo = [...call.replyTo, address];
    return true;
  }

  #findRefusal(frame: OpenCall): RefusalReason | undefined {
    if (frame.refuseReason !== '') {
      return isRefusalReason(frame.refuseReason) ? frame.refuseReason : UNKNOWN_REASON;
    }
    if (this.#services.isLeaving()) {
      return 'leaving';
    }
    if ((frame.context?.remainingMs ?? 0) <= 0) {
      return 'deadlineExpired';
    }
    return undefined;
  }

  #createCall(
    address: ReplyAddress,
    frame: OpenCall,
    accepted: AcceptedCall,
    bodyOf: string,
    nowMs: number,
  ): InboundCall {
    const { context } = frame;
    return {
      callId: frame.callId,
      route: accepted.route,
      method: frame.method,
      target: frame.target,
      headers: accepted.headers,
      bodyOf,
      context: {
        rootId: context?.rootId ?? '',
        workspace: context?.workspace ?? '',
        route: accepted.route.name,
        priority: context?.priority ?? accepted.route.priority,
        deadlineMs: nowMs + (context?.remainingMs ?? 0),
        allowance: context?.allowance ?? 0,
        depth: context?.depth ?? 1,
        bundleVersion: context?.bundleVersion ?? 0,
        originService: context?.originService ?? '',
      },
      ...(accepted.deduplicationKey === undefined
        ? {}
        : { deduplicationKey: accepted.deduplicationKey }),
      fingerprint: accepted.fingerprint,
      suspect: frame.suspect,
      token: this.#services.createToken(),
      allowance: new AttemptAllowance(context?.allowance ?? 0),
      children: new Set(),
      calledServices: new Set(),
      replyTo: [address],
      state: 'queued',
      startedMs: nowMs,
    };
  }

  #offer(bundle: Bundle, call: InboundCall, nowMs: number): void {
    const { admission, suspects } = this.#services;
    const state = suspects.findState(call.fingerprint, nowMs);
    if (state === 'blocked') {
      this.#runs.refuse(call, this.#createRefusal('suspectRefused'), nowMs);
      return;
    }
    const item = {
      callId: call.callId,
      workspace: call.context.workspace,
      weight: bundle.workspaces.get(call.context.workspace)?.weight ?? 1,
      priority: call.context.priority,
      cost: call.route.cost,
      deadlineMs: call.context.deadlineMs,
      repeatable: call.route.repeatable,
      suspect: suspects.policy.isIsolating && (call.suspect || state === 'suspect'),
      arrivedMs: nowMs,
    };
    this.#runs.apply(admission.offer(item, nowMs), nowMs);
  }

  /**
   * Refuses a call that never entered the queue. A non-repeatable one is made void first, so that a repeat cannot run.
   */
  #refuseNew(
    address: ReplyAddress,
    deduplicationKey: DeduplicationKey | undefined,
    reason: RefusalReason,
    bodyOf: string,
    nowMs: number,
  ): void {
    const isNotRun =
      deduplicationKey === undefined ||
      this.#services.deduplication.recordVoid(
        deduplicationKey.id,
        deduplicationKey.digest,
        deduplicationKey.expiryMs,
      );
    const refusal = { ...this.#createRefusal(reason), outcome: isNotRun ? 'notRun' : 'unknown' };
    this.#refuseUnaccepted(address, bodyOf, refusal as Refusal, nowMs);
  }

  #refuseUnaccepted(address: ReplyAddress, bodyOf: string, refusal: Refusal, nowMs: number): void {
    this.#services.outbox.add({ kind: 'releaseBody', bodyOf });
    this.#replies.refuse(address, refusal, undefined, nowMs);
  }

  #createRefusal(reason: RefusalReason): Refusal {
    const retryAfterMs = computeRetryAfter(RETRY_AFTER_MS, this.#services.random);
    return createRefusal(reason, { retryAfterMs });
  }

  #removeAddress(call: InboundCall, peer: string, callId: string, nowMs: number): void {
    call.replyTo = call.replyTo.filter(
      (address) => address.peer !== peer || address.callId !== callId,
    );
    const keepsRunning = call.deduplicationKey !== undefined && call.state === 'running';
    if (call.replyTo.length === 0 && !keepsRunning) {
      this.#runs.cancel(call, nowMs);
    }
  }
}

/** With a ticket, an earlier call may have run, so that `unknown` replaces an outcome that only holds for this call. */
function toUnprovedRefusal(frame: OpenCall, refusal: Refusal): Refusal {
  const isUnproved = frame.ticket !== '' && UNPROVED_REASONS.has(refusal.reason);
  return isUnproved ? { ...refusal, outcome: 'unknown' } : refusal;
}

function hasAddress(call: InboundCall, peer: string, callId: string): boolean {
  return call.replyTo.some((address) => address.peer === peer && address.callId === callId);
}
