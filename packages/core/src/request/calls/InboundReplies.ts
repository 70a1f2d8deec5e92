import {
  createHeaders,
  type AdmissionLevel as LevelFrame,
  type Answer,
  type Load,
  type Refused,
  type ServiceDemand as ServiceDemandFrame,
} from '@tanagerpond/wire';
import { computeUtilization } from '../../process/trees/index.js';
import { encodeAdmissionLevel } from './encodeAdmissionLevel.js';
import type { NodeServices } from '../../process/node/NodeServices.js';
import type { StoredAnswer } from '../../process/deduplication/index.js';
import type { Refusal } from '../refusals.js';
import type { InboundCall, ReplyAddress } from './InboundCall.js';
import { encodeOutcome } from './encodeOutcome.js';

/** An answer of the backend server or, replayed, of the deduplication table. */
export interface InboundAnswer extends StoredAnswer {
  readonly replayed: boolean;
}

/**
 * Sends answers and refusals to the requesting nodes. As backpressure, both carry the load of this node and admission
 * levels. With load shedding by call trees, answers carry service demands instead of the levels.
 */
export class InboundReplies {
  readonly #services: NodeServices;

  /** @param services - Services shared by the parts of this node. */
  constructor(services: NodeServices) {
    this.#services = services;
  }

  /**
   * Sends an answer.
   * @param address - Node and attempt to reply to.
   * @param answer - Answer to send; the host keeps its body.
   * @param call - Call that ran; absent when a stored answer is replayed.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  answer(
    address: ReplyAddress,
    answer: InboundAnswer,
    call: InboundCall | undefined,
    nowMs: number,
  ): void {
    const value: Answer = {
      $typeName: 'tanagerpond.link.v1.Answer',
      callId: address.callId,
      status: answer.status,
      headers: createHeaders(answer.headers),
      bodySize: answer.bodySize,
      replayed: answer.replayed,
      unspentAllowance: call?.allowance.remaining ?? 0,
      load: this.#readLoad(nowMs),
      levels: this.#listLevels(call, nowMs),
      demands: this.#listDemands(address, call, nowMs),
      body: new Uint8Array(0),
      closeDelimited: answer.closeDelimited,
    };
    const bodyOf = answer.bodySize > 0 ? answer.bodyOf : undefined;
    this.#services.outbox.sendReply(address.peer, { case: 'answer', value }, bodyOf);
  }

  /**
   * Replays a stored answer.
   * @param address - Node and attempt to reply to.
   * @param stored - Answer of the only run.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  replay(address: ReplyAddress, stored: StoredAnswer, nowMs: number): void {
    this.#services.counters.count('replayed');
    this.answer(address, { ...stored, replayed: true }, undefined, nowMs);
  }

  /**
   * Sends a refusal.
   * @param address - Node and attempt to reply to.
   * @param refusal - Reason and outcome.
   * @param call - Call that was refused; absent when none was created.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  refuse(
    address: ReplyAddress,
    refusal: Refusal,
    call: InboundCall | undefined,
    nowMs: number,
  ): void {
    this.#services.counters.count(`exitRefused.${refusal.reason}`);
    const value: Refused = {
      $typeName: 'tanagerpond.link.v1.Refused',
      callId: address.callId,
      reason: refusal.reason,
      outcome: encodeOutcome(refusal.outcome),
      retryAfterMs: refusal.retryAfterMs ?? 0,
      unspentAllowance: call?.allowance.remaining ?? 0,
      load: this.#readLoad(nowMs),
      levels: this.#listLevels(call, nowMs),
    };
    this.#services.outbox.sendReply(address.peer, { case: 'refused', value });
  }

  #readLoad(nowMs: number): Load {
    return { $typeName: 'tanagerpond.link.v1.Load', ...this.#services.admission.readLoad(nowMs) };
  }

  #listDemands(
    { peer }: ReplyAddress,
    call: InboundCall | undefined,
    nowMs: number,
  ): ServiceDemandFrame[] {
    const { callTrees, admission } = this.#services;
    if (callTrees === undefined || call === undefined) {
      return [];
    }
    const utilization = computeUtilization(admission.readLoad(nowMs));
    return callTrees.reports
      .create(peer, call.route.name, utilization, nowMs)
      .map((demand) => ({ $typeName: 'tanagerpond.link.v1.ServiceDemand', ...demand }));
  }

  #listLevels(call: InboundCall | undefined, nowMs: number): LevelFrame[] {
    const { admission, backpressure, self, callTrees } = this.#services;
    if (callTrees !== undefined) {
      return [];
    }
    const own = { service: self.service, ...admission.readLevel(nowMs) };
    const called = call?.calledServices;
    const fromSubtree =
      called === undefined || called.size === 0
        ? []
        : backpressure.list(nowMs).filter(({ service }) => called.has(service));
    return [own, ...fromSubtree].map((level) => encodeAdmissionLevel(level));
  }
}
