import { create } from '@bufbuild/protobuf';
import { CancelCallSchema, type Answer } from '@tanagerpond/wire';
import type { HeaderPair } from '../../process/node/NodeMessage.js';
import type { NodeServices } from '../../process/node/NodeServices.js';
import type { Refusal } from '../refusals.js';
import { createAnswerLog } from './createAnswerLog.js';
import { createDecisionBasis } from './createDecisionBasis.js';
import { createOutboundCallLog } from './createOutboundCallLog.js';
import type { OutboundCall } from './OutboundCall.js';
import type { OutboundCallTable } from './OutboundCallTable.js';
import type { InboundCall } from './InboundCall.js';
import type { InboundCallTable } from './InboundCallTable.js';

/** Closes outbound calls: answers or refuses the requester, and returns unspent extra attempts to the parent call. */
export class OutboundCallCloser {
  readonly #services: NodeServices;

  readonly #table: OutboundCallTable;

  readonly #inboundCalls: InboundCallTable;

  /**
   * @param services - Services shared by the parts of this node.
   * @param table - Outbound calls of this node.
   * @param inboundCalls - Calls of the local backend server, the parents of its outgoing calls.
   */
  constructor(services: NodeServices, table: OutboundCallTable, inboundCalls: InboundCallTable) {
    this.#services = services;
    this.#table = table;
    this.#inboundCalls = inboundCalls;
  }

  /**
   * Sends an answer to the requester and closes the call.
   * @param call - Call that was answered.
   * @param answer - Answer of the VM; its body is complete.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param bodyOf - Name of its body in the body store; by default the id of the attempt.
   */
  answer(call: OutboundCall, answer: Answer, nowMs: number, bodyOf = answer.callId): void {
    const { outbox, counters, self } = this.#services;
    counters.count('answered');
    outbox.add(createAnswerLog(call, answer, self.name, nowMs));
    outbox.add({
      kind: 'answerRequester',
      requestId: call.requestId,
      status: answer.status,
      headers: [
        ...answer.headers.map(({ name, value }): HeaderPair => [name, value]),
        ['tanagerpond-outcome', 'complete'],
        ['tanagerpond-root', call.context.rootId],
      ],
      bodyOf: answer.bodySize > 0 ? bodyOf : '',
      closeDelimited: answer.closeDelimited,
    });
    outbox.add({ kind: 'releaseBody', bodyOf: answer.callId });
    this.#close(call);
  }

  /**
   * Sends the kept answer of an earlier attempt to the requester and closes the call.
   * @param call - Call to end.
   * @returns False when no answer was kept.
   */
  answerFallback(call: OutboundCall): boolean {
    if (call.fallback === undefined) {
      return false;
    }
    const { answer, receivedMs, bodyOf } = call.fallback;
    this.answer(call, answer, receivedMs, bodyOf);
    return true;
  }

  /**
   * Refuses the requester and closes the call. If the answer of an earlier attempt was kept, sends that answer instead.
   * Reports `unknown` instead of `notRun` when an earlier attempt may have run.
   * @param call - Call that is refused.
   * @param refusal - Reason and outcome, from the last attempt or decided by this node.
   * @param headers - Headers in addition to those that follow from the refusal.
   */
  refuse(call: OutboundCall, refusal: Refusal, headers: readonly HeaderPair[] = []): void {
    if (this.answerFallback(call)) {
      return;
    }
    const mustReportUnknown = call.mayHaveRun && refusal.outcome === 'notRun';
    const reported: Refusal = mustReportUnknown ? { ...refusal, outcome: 'unknown' } : refusal;
    this.#logRefusal(call, reported);
    this.sendRefusal(call.requestId, reported, [
      ...headers,
      ['tanagerpond-root', call.context.rootId],
    ]);
    this.#close(call);
  }

  /**
   * Sends a refusal to a requester; closes no call.
   * @param requestId - Request to refuse.
   * @param refusal - Reason and outcome.
   * @param headers - Headers in addition to those that follow from the refusal.
   */
  sendRefusal(requestId: string, refusal: Refusal, headers: readonly HeaderPair[] = []): void {
    const { outbox, counters } = this.#services;
    counters.count(`refused.${refusal.reason}`);
    outbox.add({ kind: 'refuseRequester', requestId, refusal, headers });
  }

  /**
   * Closes a call whose requester has disconnected.
   * @param call - Call to close; its attempt, if any, is cancelled.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  closeAbandoned(call: OutboundCall, nowMs: number): void {
    this.#services.counters.count('abandoned');
    this.cancelAttempt(call, nowMs);
    this.#close(call);
  }

  /**
   * Cancels the attempt that is under way, if any, at its VM.
   * @param call - Call whose attempt is cancelled.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  cancelAttempt(call: OutboundCall, nowMs: number): void {
    const { attempt } = call;
    if (attempt === undefined || call.state !== 'attempting') {
      return;
    }
    const { outbox, router } = this.#services;
    const latencyMs = nowMs - attempt.sentMs;
    router.recordOutcome(attempt.vm, { kind: 'cancelled', latencyMs }, nowMs);
    outbox.sendRequest(attempt.vm, {
      case: 'cancelCall',
      value: create(CancelCallSchema, { callId: attempt.callId }),
    });
  }

  /**
   * Records in the parent call which services a call and its subtree have called.
   * @param call - Call that was answered or refused.
   * @param levels - Admission levels on the answer or refusal, one for each of these services.
   */
  recordCalledServices(call: OutboundCall, levels: Answer['levels']): void {
    const parent = this.#findParent(call);
    levels.forEach((level) => parent?.calledServices.add(level.service));
  }

  #logRefusal(call: OutboundCall, { reason, outcome, detail }: Refusal): void {
    const { context, attempt } = call;
    const line = {
      level: 'info' as const,
      text: 'call was refused',
      fields: {
        priority: context.priority,
        ...(attempt === undefined ? {} : { vm: attempt.vm }),
        reason,
        outcome,
        ...(detail === undefined ? {} : { detail }),
      },
    };
    const { outbox, self } = this.#services;
    outbox.add(
      createOutboundCallLog(call, line, createDecisionBasis(call, self.name, reason, detail)),
    );
  }

  #findParent(call: OutboundCall): InboundCall | undefined {
    return call.parentCallId === undefined ? undefined : this.#inboundCalls.find(call.parentCallId);
  }

  #close(call: OutboundCall): void {
    this.#table.remove(call);
    this.#services.rateLimiter.cancel(call.requestId);
    this.#services.outbox.add({ kind: 'releaseBody', bodyOf: call.requestId });
    if (call.fallback !== undefined) {
      this.#services.outbox.add({ kind: 'releaseBody', bodyOf: call.fallback.bodyOf });
    }
    const parent = this.#findParent(call);
    if (parent === undefined) {
      return;
    }
    parent.children.delete(call.requestId);
    parent.allowance.returnUnspent(call.grantedByParent, call.allowance.remaining);
  }
}
