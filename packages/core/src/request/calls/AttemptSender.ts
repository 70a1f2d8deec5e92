import type { NodeServices } from '../../process/node/NodeServices.js';
import { computeRetryAfter } from '../computeRetryAfter.js';
import { createRefusal, type Refusal } from '../refusals.js';
import { createOpenCall } from './createOpenCall.js';
import type { Attempt, OutboundCall } from './OutboundCall.js';
import type { OutboundCallTable } from './OutboundCallTable.js';

/** Base of the jittered `retry-after` when a service has no usable VM, in milliseconds. */
const NO_BACKEND_RETRY_MS = 1_000;

/** Chooses the VM of an attempt and sends the attempt to it. */
export class AttemptSender {
  readonly #services: NodeServices;

  readonly #table: OutboundCallTable;

  #sent = 0;

  /**
   * @param services - Services shared by the parts of this node.
   * @param table - Outbound calls of this node.
   */
  constructor(services: NodeServices, table: OutboundCallTable) {
    this.#services = services;
    this.#table = table;
  }

  /** Creates an id that is unique in the fleet, for an attempt, a ticket request, a call tree or an idempotency key. */
  createId(): string {
    this.#sent += 1;
    const { name, incarnation } = this.#services.self;
    return `${name}:${incarnation}:${this.#sent}`;
  }

  /**
   * Chooses a VM and sends an attempt to it.
   * @param call - Call to attempt; the VM is added to its `triedVms`.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns A refusal when no VM can be chosen; nothing is sent then.
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
   * Sends a non-repeatable call again to the incarnation that has received it, after its link broke. The incarnation
   * recognizes the repeat by the idempotency key.
   * @param call - Call whose last attempt is lost.
   * @param vm - VM of the lost attempt.
   * @param incarnation - Incarnation that may have run it.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  sendAgain(call: OutboundCall, vm: string, incarnation: string, nowMs: number): void {
    this.#start(
      call,
      { callId: this.createId(), vm, incarnation, granted: 0, sentMs: nowMs },
      nowMs,
    );
  }

  /**
   * Chooses the VM of the next attempt: the one that the ticket names, or else one that was not tried yet.
   * @param call - Call to attempt.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  chooseVm(call: OutboundCall, nowMs: number): string | undefined {
    const { membership, router } = this.#services;
    if (call.idempotencyKey?.kind === 'ticket') {
      return membership.find(call.idempotencyKey.vm)?.name;
    }
    return router.choose(call.route.service, call.triedVms, nowMs)?.name;
  }

  #start(call: OutboundCall, attempt: Attempt, nowMs: number): void {
    const { outbox, router, counters } = this.#services;
    call.attempt = attempt;
    call.state = 'attempting';
    call.triedVms.add(attempt.vm);
    this.#table.addAttempt(attempt.callId, call);
    counters.count('attempts');
    router.recordSent(attempt.vm, nowMs);
    const targetIncarnation = call.idempotencyKey === undefined ? '' : (attempt.incarnation ?? '');
    const rateLimit = router.findRateLimit(attempt.vm);
    const value = createOpenCall(call, attempt, targetIncarnation, rateLimit, nowMs);
    const bodyOf = value.bodySize > 0 ? call.requestId : undefined;
    outbox.sendRequest(attempt.vm, { case: 'openCall', value }, bodyOf);
  }

  #findIncarnation(call: OutboundCall, vm: string): string | undefined {
    if (call.idempotencyKey?.kind === 'ticket') {
      return call.idempotencyKey.incarnation;
    }
    const { self } = this.#services;
    return vm === self.name ? self.incarnation : this.#services.findIncarnation(vm);
  }

  #createNoVmRefusal(call: OutboundCall): Refusal {
    if (call.idempotencyKey?.kind === 'ticket') {
      return createRefusal('incarnationGone');
    }
    const retryAfterMs = computeRetryAfter(NO_BACKEND_RETRY_MS, this.#services.random);
    return createRefusal('noBackend', { retryAfterMs });
  }
}
