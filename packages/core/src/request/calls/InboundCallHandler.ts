import type { Bundle } from '@tanagerpond/bundle';
import type { CancelCall, OpenCall } from '@tanagerpond/wire';
import type { NodeServices } from '../../process/node/NodeServices.js';
import type { OnceState } from '../../process/once/index.js';
import { computeRetryAfter } from '../computeRetryAfter.js';
import { createRefusal, type Refusal, type RefusalReason } from '../refusals.js';
import { acceptOpenCall, type AcceptedCall, type OnceKey } from './acceptOpenCall.js';
import { AttemptAllowance } from './AttemptAllowance.js';
import type { BackendRuns } from './BackendRuns.js';
import type { InboundCall, ReplyAddress } from './InboundCall.js';
import type { InboundReplies } from './InboundReplies.js';
import type { InboundCallTable } from './InboundCallTable.js';

/** Requesters that may wait for one run of a call that runs at most once. */
const REPLY_LIMIT = 8;

/** Base of the time after which a refused call may come back, in milliseconds. */
const RETRY_AFTER_MS = 500;

/** Refusals of a repeat by what the once table knows. */
const REPEAT_REASONS: Readonly<
  Record<Exclude<OnceState['kind'], 'new' | 'answered'>, RefusalReason>
> = {
  inProgress: 'inProgress',
  answerNotKept: 'answerNotKept',
  unknown: 'backendFailed',
  void: 'ticketRequired',
  mismatch: 'ticketMismatch',
};

/** Reasons that say nothing about an earlier send of the same ticket. */
const UNPROVED_REASONS: ReadonlySet<RefusalReason> = new Set([
  'starting',
  'routeUnknown',
  'vmUnknown',
]);

/** Takes calls for the backend server beside this node, and keeps those that run at most once from running twice. */
export class InboundCallHandler {
  readonly #services: NodeServices;

  readonly #table: InboundCallTable;

  readonly #replies: InboundReplies;

  readonly #runs: BackendRuns;

  /**
   * @param services - What the call tables share.
   * @param table - Calls of the backend server.
   * @param replies - Sends answers and refusals.
   * @param runs - Carries out the decisions of the admission queue.
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
   * Takes a call.
   * @param peer - VM of the node that sends it.
   * @param frame - Frame that starts the call.
   * @param bodyOf - Name under which the host keeps the body.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  open(peer: string, frame: OpenCall, bodyOf: string, nowMs: number): void {
    const bundle = this.#services.findBundle();
    const address = { peer, callId: frame.callId };
    if (bundle === undefined) {
      const refusal = weaken(frame, createRefusal('starting'));
      this.#refuseUnaccepted(address, bodyOf, refusal, nowMs);
      return;
    }
    acceptOpenCall(this.#services, bundle, frame, nowMs).match({
      Ok: (accepted) => this.#admit(bundle, address, frame, accepted, bodyOf, nowMs),
      Err: (refusal) => this.#refuseUnaccepted(address, bodyOf, weaken(frame, refusal), nowMs),
    });
  }

  /**
   * Ends a call that nobody waits for any more. A call that runs at most once runs on, so that its answer is known.
   * @param peer - VM of the node that sent the call.
   * @param frame - Names the call.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  cancel(peer: string, frame: CancelCall, nowMs: number): void {
    this.#table
      .list()
      .filter((call) => hasAddress(call, peer, frame.callId))
      .forEach((call) => this.#removeAddress(call, peer, frame.callId, nowMs));
  }

  /**
   * Ends the calls of a peer whose stream is gone.
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
    const { once } = accepted;
    if (once !== undefined && this.#answerRepeat(address, once, nowMs)) {
      this.#services.outbox.add({ kind: 'releaseBody', bodyOf });
      return;
    }
    const reason = this.#findRefusal(frame);
    if (reason !== undefined) {
      this.#refuseNew(address, once, reason, bodyOf, nowMs);
      return;
    }
    if (once !== undefined && !this.#services.once.begin(once.id, once.digest, once.expiryMs)) {
      this.#refuseUnaccepted(address, bodyOf, this.#createRefusal('ticketTableFull'), nowMs);
      return;
    }
    const call = this.#createCall(address, frame, accepted, bodyOf, nowMs);
    this.#table.add(call);
    this.#offer(bundle, call, nowMs);
  }

  /** Answers a repeat from the once table. Returns false for an id that was never seen. */
  #answerRepeat(address: ReplyAddress, once: OnceKey, nowMs: number): boolean {
    const state = this.#services.once.find(once.id, once.digest);
    if (state.kind === 'new') {
      return false;
    }
    if (state.kind === 'answered') {
      this.#replies.replay(address, state.answer, nowMs);
      return true;
    }
    if (state.kind === 'inProgress' && this.#join(address, once)) {
      return true;
    }
    this.#replies.refuse(address, createRefusal(REPEAT_REASONS[state.kind]), undefined, nowMs);
    return true;
  }

  /** Lets a repeat wait for the run that is under way. */
  #join(address: ReplyAddress, once: OnceKey): boolean {
    const call = this.#table.findByOnceId(once.id);
    if (call === undefined || call.replyTo.length >= REPLY_LIMIT) {
      return false;
    }
    call.replyTo = [...call.replyTo, address];
    return true;
  }

  #findRefusal(frame: OpenCall): RefusalReason | undefined {
    if (frame.refuseReason !== '') {
      return frame.refuseReason as RefusalReason;
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
      ...(accepted.once === undefined ? {} : { once: accepted.once }),
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
      suspect: suspects.policy.isolates && (call.suspect || state === 'suspect'),
      arrivedMs: nowMs,
    };
    this.#runs.apply(admission.offer(item, nowMs), nowMs);
  }

  /** Refuses a call that never entered the queue. One that runs at most once is made void first. */
  #refuseNew(
    address: ReplyAddress,
    once: OnceKey | undefined,
    reason: RefusalReason,
    bodyOf: string,
    nowMs: number,
  ): void {
    const isProved =
      once === undefined || this.#services.once.recordVoid(once.id, once.digest, once.expiryMs);
    const refusal = { ...this.#createRefusal(reason), outcome: isProved ? 'notRun' : 'unknown' };
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
    const runsOn = call.once !== undefined && call.state === 'running';
    if (call.replyTo.length === 0 && !runsOn) {
      this.#runs.cancel(call, nowMs);
    }
  }
}

function weaken(frame: OpenCall, refusal: Refusal): Refusal {
  const isUnproved = frame.ticket !== '' && UNPROVED_REASONS.has(refusal.reason);
  return isUnproved ? { ...refusal, outcome: 'unknown' } : refusal;
}

function hasAddress(call: InboundCall, peer: string, callId: string): boolean {
  return call.replyTo.some((address) => address.peer === peer && address.callId === callId);
}
