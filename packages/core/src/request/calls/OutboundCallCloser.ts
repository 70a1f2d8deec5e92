import { create } from '@bufbuild/protobuf';
import { CancelCallSchema, type Answer } from '@tanagerpond/wire';
import type { HeaderPair } from '../../process/node/NodeMessage.js';
import type { NodeServices } from '../../process/node/NodeServices.js';
import type { Refusal } from '../refusals.js';
import { createAnswerLog } from './createAnswerLog.js';
import { createBasis } from './createBasis.js';
import { createEntryLog } from './createEntryLog.js';
import type { OutboundCall } from './OutboundCall.js';
import type { OutboundCallTable } from './OutboundCallTable.js';
import type { InboundCall } from './InboundCall.js';
import type { InboundCallTable } from './InboundCallTable.js';

/** Ends entry calls: answers or refuses the requester and returns what the parent gave. */
export class OutboundCallCloser {
  readonly #services: NodeServices;

  readonly #table: OutboundCallTable;

  readonly #exits: InboundCallTable;

  /**
   * @param services - What the call tables share.
   * @param table - Calls that this node started.
   * @param exits - Calls of the own backend server, the parents of outgoing calls.
   */
  constructor(services: NodeServices, table: OutboundCallTable, exits: InboundCallTable) {
    this.#services = services;
    this.#table = table;
    this.#exits = exits;
  }

  /**
   * Answers the requester with a whole answer.
   * @param call - Call that was answered.
   * @param answer - Frame of the answer.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param bodyOf - Name of its body; by default the attempt's id.
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
   * Gives the requester the answer that an earlier attempt brought.
   * @param call - Call to end.
   * @returns False when no answer is kept.
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
   * Refuses the requester, or gives it the answer that an earlier attempt brought. Says "unknown" in place of "not run"
   * when an earlier attempt may have run.
   * @param call - Call that is refused.
   * @param refusal - Reason and outcome of the last attempt.
   * @param headers - Headers besides those that follow from the refusal.
   */
  refuse(call: OutboundCall, refusal: Refusal, headers: readonly HeaderPair[] = []): void {
    if (this.answerFallback(call)) {
      return;
    }
    const isDoubtful = call.mayHaveRun && refusal.outcome === 'notRun';
    const told: Refusal = isDoubtful ? { ...refusal, outcome: 'unknown' } : refusal;
    this.#logRefusal(call, told);
    this.refuseRequest(call.requestId, told, [
      ...headers,
      ['tanagerpond-root', call.context.rootId],
    ]);
    this.#close(call);
  }

  /**
   * Refuses a request for which no call was created.
   * @param requestId - Request to refuse.
   * @param refusal - Reason and outcome.
   * @param headers - Headers besides those that follow from the refusal.
   */
  refuseRequest(requestId: string, refusal: Refusal, headers: readonly HeaderPair[] = []): void {
    const { outbox, counters } = this.#services;
    counters.count(`refused.${refusal.reason}`);
    outbox.add({ kind: 'refuseRequester', requestId, refusal, headers });
  }

  /**
   * Ends a call whose requester is gone.
   * @param call - Call to end; its attempt, if any, is cancelled.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  closeAbandoned(call: OutboundCall, nowMs: number): void {
    this.#services.counters.count('abandoned');
    this.cancelAttempt(call, nowMs);
    this.#close(call);
  }

  /**
   * Tells the VM of the present attempt that nobody waits for it any more.
   * @param call - Call with an attempt under way.
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
   * Notes at the parent which services a call and its subtree touched.
   * @param call - Call that was answered or refused.
   * @param levels - Levels that came back.
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
    outbox.add(createEntryLog(call, line, createBasis(call, self.name, reason, detail)));
  }

  #findParent(call: OutboundCall): InboundCall | undefined {
    return call.parentCallId === undefined ? undefined : this.#exits.find(call.parentCallId);
  }

  #close(call: OutboundCall): void {
    this.#table.remove(call);
    this.#services.shares.cancel(call.requestId);
    this.#services.outbox.add({ kind: 'releaseBody', bodyOf: call.requestId });
    if (call.fallback !== undefined) {
      this.#services.outbox.add({ kind: 'releaseBody', bodyOf: call.fallback.bodyOf });
    }
    const parent = this.#findParent(call);
    if (parent === undefined) {
      return;
    }
    parent.children.delete(call.requestId);
    parent.allowance.settleChild(call.grantedByParent, call.allowance.remaining);
  }
}
