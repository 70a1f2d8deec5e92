import type { NodeServices } from '../../process/node/NodeServices.js';
import { computeRetryAfter } from '../computeRetryAfter.js';
import { createRefusal, type Refusal } from '../refusals.js';
import { createAttemptFrame } from './createAttemptFrame.js';
import type { Attempt, OutboundCall } from './OutboundCall.js';
import type { OutboundCallTable } from './OutboundCallTable.js';

/** Time after which a service without a usable VM is worth another try, in milliseconds. */
const NO_BACKEND_RETRY_MS = 1_000;

/** Chooses the VM for an attempt and sends it. */
export class AttemptSender {
  readonly #services: NodeServices;

  readonly #table: OutboundCallTable;

  #sent = 0;

  /**
   * @param services - What the call tables share.
   * @param table - Calls that this node started.
   */
  constructor(services: NodeServices, table: OutboundCallTable) {
    this.#services = services;
    this.#table = table;
  }

  /** Creates an id that no other call of the fleet has. */
  createId(): string {
    this.#sent += 1;
    const { name, incarnation } = this.#services.self;
    return `${name}:${incarnation}:${this.#sent}`;
  }

  /**
   * Sends an attempt.
   * @param call - Call to attempt; its VM goes to the tried ones.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns A refusal when no VM can be chosen.
   */
  send(call: OutboundCall, nowMs: number): Refusal | undefined {
    const vm = this.chooseVm(call, nowMs);
    if (vm === undefined) {
      return this.#createNoVmRefusal(call);
    }
    const incarnation = this.#findIncarnation(call, vm);
    const granted = call.allowance.grantToChild(call.route.calls.length > 0);
    this.#start(call, { callId: this.createId(), vm, incarnation, granted, sentMs: nowMs }, nowMs);
    return undefined;
  }

  /**
   * Sends a call that runs at most once again to the incarnation that has it, after its link broke.
   * @param call - Call whose last attempt is lost.
   * @param vm - VM of the incarnation.
   * @param incarnation - Incarnation that may have run it.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  repeat(call: OutboundCall, vm: string, incarnation: string, nowMs: number): void {
    this.#start(
      call,
      { callId: this.createId(), vm, incarnation, granted: 0, sentMs: nowMs },
      nowMs,
    );
  }

  /**
   * Chooses the VM that an attempt goes to.
   * @param call - Call to attempt.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  chooseVm(call: OutboundCall, nowMs: number): string | undefined {
    const { membership, router } = this.#services;
    if (call.once?.kind === 'ticket') {
      return membership.find(call.once.vm)?.name;
    }
    return router.choose(call.route.service, call.tried, nowMs)?.name;
  }

  #start(call: OutboundCall, attempt: Attempt, nowMs: number): void {
    const { outbox, router, counters } = this.#services;
    call.attempt = attempt;
    call.state = 'attempting';
    call.tried.add(attempt.vm);
    this.#table.addAttempt(attempt.callId, call);
    counters.count('attempts');
    router.recordSent(attempt.vm, nowMs);
    const targetIncarnation = call.once === undefined ? '' : (attempt.incarnation ?? '');
    const value = createAttemptFrame(call, attempt, targetIncarnation, nowMs);
    const bodyOf = value.bodySize > 0 ? call.requestId : undefined;
    outbox.sendRequest(attempt.vm, { case: 'openCall', value }, bodyOf);
  }

  #findIncarnation(call: OutboundCall, vm: string): string | undefined {
    if (call.once?.kind === 'ticket') {
      return call.once.incarnation;
    }
    const { self } = this.#services;
    return vm === self.name ? self.incarnation : this.#services.findIncarnation(vm);
  }

  #createNoVmRefusal(call: OutboundCall): Refusal {
    if (call.once?.kind === 'ticket') {
      return createRefusal('incarnationGone');
    }
    const retryAfterMs = computeRetryAfter(NO_BACKEND_RETRY_MS, this.#services.random);
    return createRefusal('noBackend', { retryAfterMs });
  }
}
