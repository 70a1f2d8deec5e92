import { create } from '@bufbuild/protobuf';
import { CrashReportSchema } from '@tanagerpond/wire';
import type { AdmissionDecision, RunOutcome } from '../../process/admission/index.js';
import { InterruptedRuns } from '../../process/suspects/index.js';
import type { BackendResult } from '../../process/node/NodeMessage.js';
import type { NodeServices } from '../../process/node/NodeServices.js';
import type { StoredAnswer } from '../../process/deduplication/index.js';
import { computeRetryAfter } from '../computeRetryAfter.js';
import * as identity from '../identity/index.js';
import { createRefusal, type Refusal, type RefusalReason } from '../refusals.js';
import { createRunLog } from './createRunLog.js';
import { createUnknownOutcomeLog } from './createUnknownOutcomeLog.js';
import type { InboundCall } from './InboundCall.js';
import type { InboundReplies } from './InboundReplies.js';
import type { InboundCallTable } from './InboundCallTable.js';

/** Maximum number of nodes of the service to which a crash is reported; a service has about 7 instances on average. */
const CRASH_REPORT_PEERS = 32;

/** Base of the jittered `retry-after` of a call that did not run, in milliseconds. */
const RETRY_AFTER_MS = 500;

/** Margin of the host's time-out of a run over the deadline, which this node enforces itself, in milliseconds. */
const HOST_TIMEOUT_MARGIN_MS = 5_000;

type ResultOf<Kind extends BackendResult['kind']> = Extract<BackendResult, { kind: Kind }>;

/** Refusal reasons sent to requesters when this node stopped the run. */
const STOP_REASONS: Readonly<Record<NonNullable<InboundCall['stopReason']>, RefusalReason>> = {
  preempted: 'preempted',
  deadline: 'deadlinePassedWhileRunning',
  cancelled: 'cancelled',
};

/**
 * Starts, stops and refuses calls of the local backend server as the admission queue decides, and handles the results
 * of their runs.
 */
export class BackendRuns {
  readonly #services: NodeServices;

  readonly #table: InboundCallTable;

  readonly #replies: InboundReplies;

  readonly #cancelChildren: (requestIds: readonly string[], nowMs: number) => void;

  /** Runs whose connection broke recently, which are not confirmed as crashes. */
  readonly #interruptedRuns = new InterruptedRuns();

  readonly #handlers: {
    readonly [Kind in BackendResult['kind']]: (
      call: InboundCall,
      result: ResultOf<Kind>,
      nowMs: number,
    ) => void;
  };

  /**
   * @param services - Services shared by the parts of this node.
   * @param table - Calls of the local backend server.
   * @param replies - Sends answers and refusals.
   * @param cancelChildren - Cancels the outgoing calls of a call that has ended.
   */
  constructor(
    services: NodeServices,
    table: InboundCallTable,
    replies: InboundReplies,
    cancelChildren: (requestIds: readonly string[], nowMs: number) => void,
  ) {
    this.#services = services;
    this.#table = table;
    this.#replies = replies;
    this.#cancelChildren = cancelChildren;
    this.#handlers = {
      answered: (call, result, nowMs) => this.#handleAnswered(call, result, nowMs),
      notSent: (call, _result, nowMs) => this.#handleNotSent(call, nowMs),
      broken: (call, _result, nowMs) => this.#handleBroken(call, nowMs),
      answerTooLarge: (call, _result, nowMs) => this.#handleAnswerTooLarge(call, nowMs),
      cancelled: (call, _result, nowMs) => this.#handleCancelled(call, nowMs),
    };
  }

  /**
   * Applies decisions of the admission queue.
   * @param decisions - Decisions in the order of the queue.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  apply(decisions: readonly AdmissionDecision[], nowMs: number): void {
    decisions.forEach((decision) => {
      const call = this.#table.find(decision.callId);
      if (call === undefined) {
        return;
      }
      if (decision.kind === 'refuse') {
        this.refuse(call, decision.refusal, nowMs);
        return;
      }
      if (decision.kind === 'preempt') {
        this.#stop(call, 'preempted');
        return;
      }
      this.#run(call, nowMs);
    });
  }

  /**
   * Refuses a call that did not run. A non-repeatable call is made void in the deduplication table, so that a repeat
   * cannot run and the reported `notRun` stays true.
   * @param call - Call that is queued, or that the backend server has not run.
   * @param refusal - Reason.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  refuse(call: InboundCall, refusal: Refusal, nowMs: number): void {
    const { deduplicationKey } = call;
    const isNotRun =
      deduplicationKey === undefined ||
      this.#services.deduplication.recordVoid(
        deduplicationKey.id,
        deduplicationKey.digest,
        deduplicationKey.expiryMs,
      );
    this.#end(call, { ...refusal, outcome: isNotRun ? 'notRun' : 'unknown' }, nowMs);
  }

  /**
   * Cancels a call that no requester waits for.
   * @param call - Call to cancel; a running one must be repeatable.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  cancel(call: InboundCall, nowMs: number): void {
    if (this.#services.admission.cancel(call.callId, nowMs) === 'running') {
      this.#stop(call, 'cancelled');
      this.#cancelChildren([...call.children], nowMs);
      return;
    }
    this.refuse(call, createRefusal('cancelled'), nowMs);
  }

  /**
   * Handles the result of a run.
   * @param callId - Call that ran.
   * @param result - Answer of the backend server, or how the run failed.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receiveResult(callId: string, result: BackendResult, nowMs: number): void {
    const call = this.#table.find(callId);
    if (call === undefined) {
      this.#services.outbox.add({ kind: 'releaseBody', bodyOf: callId });
      return;
    }
    const handle = this.#handlers[result.kind] as (
      call: InboundCall,
      result: BackendResult,
      nowMs: number,
    ) => void;
    handle(call, result, nowMs);
  }

  /**
   * Stops running calls whose deadline has passed. A non-repeatable call keeps running, so that its answer is stored
   * for repeats.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    this.#table
      .list()
      .filter((call) => call.state === 'running' && nowMs >= call.context.deadlineMs)
      .filter((call) => call.deduplicationKey === undefined && call.stopReason === undefined)
      .forEach((call) => {
        this.#stop(call, 'deadline');
        this.#cancelChildren([...call.children], nowMs);
      });
  }

  /**
   * Reports the runs that broke recently as crashes. Called when the backend server refuses connections, which confirms
   * that it crashed.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  confirmCrash(nowMs: number): void {
    const fingerprints = this.#interruptedRuns.take(nowMs);
    if (fingerprints.length > 0) {
      this.#reportCrash(fingerprints, nowMs);
    }
  }

  #recordBreak(fingerprint: string, nowMs: number): void {
    if (this.#services.suspects.policy.crashEvidence === 'broken') {
      this.#reportCrash([fingerprint], nowMs);
      return;
    }
    this.#interruptedRuns.add(fingerprint, nowMs);
  }

  #run(call: InboundCall, nowMs: number): void {
    call.state = 'running';
    call.startedMs = nowMs;
    const { context } = call;
    const remainingMs = Math.max(1, Math.round(context.deadlineMs - nowMs));
    this.#services.counters.count('runs');
    this.#services.callTrees?.ratios.recordStart(call.route.name);
    this.#services.outbox.add({
      kind: 'callBackend',
      callId: call.callId,
      method: call.method,
      target: call.target,
      headers: [
        ...call.headers,
        ['tanagerpond-call', call.token],
        ['tanagerpond-workspace', context.workspace],
        ['tanagerpond-priority', String(context.priority)],
        ['tanagerpond-origin', context.originService],
        ['tanagerpond-root', context.rootId],
        ['tanagerpond-deadline-ms', String(remainingMs)],
      ],
      bodyOf: call.bodyOf,
      timeoutMs: remainingMs + HOST_TIMEOUT_MARGIN_MS,
      maxAnswer: call.route.maxAnswer,
    });
  }

  #stop(call: InboundCall, reason: NonNullable<InboundCall['stopReason']>): void {
    call.stopReason ??= reason;
    this.#services.outbox.add({ kind: 'cancelBackend', callId: call.callId });
  }

  #handleAnswered(call: InboundCall, result: ResultOf<'answered'>, nowMs: number): void {
    if (result.shed) {
      this.#finish(call, 'shed', nowMs);
      this.refuse(call, this.#createRefusal('overloaded'), nowMs);
      return;
    }
    this.#finish(call, 'answered', nowMs);
    const closeDelimited = result.framing === 'close';
    if (!closeDelimited) {
      this.#services.suspects.recordSurvived(call.fingerprint, nowMs);
    }
    this.#services.outbox.add(createRunLog(call, result, nowMs));
    const { status, bodySize } = result;
    const headers = identity.selectForwardedHeaders(result.headers);
    const answer = this.#storeAnswer(call, { status, headers, bodySize, closeDelimited });
    call.replyTo.forEach((address) =>
      this.#replies.answer(address, { ...answer, replayed: false }, call, nowMs),
    );
    this.#remove(call, nowMs);
  }

  /**
   * Stores the answer of a non-repeatable call for repeats, and returns it with the name of its body in the body store.
   */
  #storeAnswer(call: InboundCall, answer: Omit<StoredAnswer, 'bodyOf'>): StoredAnswer {
    const { deduplicationKey, callId } = call;
    if (deduplicationKey === undefined) {
      return { ...answer, bodyOf: callId };
    }
    const bodyOf = answer.bodySize > 0 ? `once ${deduplicationKey.id}` : '';
    const stored = this.#services.deduplication.recordAnswer(deduplicationKey.id, {
      ...answer,
      bodyOf,
    });
    if (stored === 'notKept' || bodyOf === '') {
      return { ...answer, bodyOf: callId };
    }
    this.#services.outbox.add({ kind: 'keepBody', from: callId, to: bodyOf });
    return { ...answer, bodyOf };
  }

  #handleNotSent(call: InboundCall, nowMs: number): void {
    this.confirmCrash(nowMs);
    this.#finish(call, 'failed', nowMs);
    this.apply(this.#services.admission.setBackendState('down', nowMs), nowMs);
    this.refuse(call, this.#createRefusal('noBackend'), nowMs);
  }

  /**
   * Handles a run whose connection broke. Unless this node stopped the run, the call may have crashed the backend
   * server, and its fingerprint becomes a suspect at all nodes of the service once the crash is reported.
   */
  #handleBroken(call: InboundCall, nowMs: number): void {
    this.#finish(call, 'failed', nowMs);
    if (call.stopReason === undefined) {
      this.#recordBreak(call.fingerprint, nowMs);
    }
    this.#endUnknown(call, 'backendFailed', nowMs);
  }

  #handleAnswerTooLarge(call: InboundCall, nowMs: number): void {
    this.#finish(call, 'answered', nowMs);
    this.#endUnknown(call, 'answerTooLarge', nowMs);
  }

  #handleCancelled(call: InboundCall, nowMs: number): void {
    this.#finish(call, 'cancelled', nowMs);
    this.#endUnknown(call, STOP_REASONS[call.stopReason ?? 'cancelled'], nowMs);
  }

  #reportCrash(fingerprints: readonly string[], nowMs: number): void {
    const { suspects, membership, outbox, self, counters } = this.#services;
    counters.count('crashesSuspected');
    suspects.recordCrash(fingerprints, nowMs, self.name);
    const fields = { service: self.service, fingerprints: [...fingerprints] };
    membership
      .findByService(self.service)
      .filter((vm) => vm.name !== self.name)
      .slice(0, CRASH_REPORT_PEERS)
      .forEach((vm) => {
        const value = create(CrashReportSchema, fields);
        outbox.sendRequest(vm.name, { case: 'crashReport', value });
      });
  }

  #endUnknown(call: InboundCall, reason: RefusalReason, nowMs: number): void {
    if (call.deduplicationKey !== undefined) {
      this.#services.deduplication.recordUnknown(call.deduplicationKey.id);
    }
    this.#services.outbox.add(createUnknownOutcomeLog(call, reason));
    this.#end(call, createRefusal(reason), nowMs);
  }

  #finish(call: InboundCall, end: RunOutcome, nowMs: number): void {
    this.apply(this.#services.admission.finish(call.callId, end, nowMs), nowMs);
  }

  #end(call: InboundCall, refusal: Refusal, nowMs: number): void {
    call.replyTo.forEach((address) => this.#replies.refuse(address, refusal, call, nowMs));
    this.#remove(call, nowMs);
  }

  #remove(call: InboundCall, nowMs: number): void {
    if (call.state === 'running') {
      this.#services.callTrees?.ratios.recordEnd(call.route.name, nowMs - call.startedMs);
    }
    this.#table.remove(call);
    const { outbox } = this.#services;
    outbox.add({ kind: 'releaseBody', bodyOf: call.bodyOf });
    outbox.add({ kind: 'releaseBody', bodyOf: call.callId });
    this.#cancelChildren([...call.children], nowMs);
  }

  #createRefusal(reason: RefusalReason): Refusal {
    const retryAfterMs = computeRetryAfter(RETRY_AFTER_MS, this.#services.random);
    return createRefusal(reason, { retryAfterMs });
  }
}
