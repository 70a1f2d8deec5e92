import { create } from '@bufbuild/protobuf';
import {
  RefusedSchema,
  TicketGrantSchema,
  TicketRequestSchema,
  type TicketGrant,
  type TicketRequest,
} from '@tanagerpond/wire';
import type { NodeServices } from '../../process/node/NodeServices.js';
import { computeRetryAfter } from '../computeRetryAfter.js';
import { createRefusal, type Refusal } from '../refusals.js';
import type { AttemptSender } from './AttemptSender.js';
import type { OutboundCall } from './OutboundCall.js';
import type { OutboundCallCloser } from './OutboundCallCloser.js';
import type { OutboundCallTable } from './OutboundCallTable.js';
import { encodeOutcome } from './encodeOutcome.js';

/** Maximum number of VMs that are asked for a ticket before the request is refused. */
const TICKET_TRIES = 3;

/** Base of the jittered `retry-after` when no VM is left to ask for a ticket, in milliseconds. */
const NO_TICKET_RETRY_MS = 1_000;

/**
 * Requests tickets for callers from the VMs that will run their requests, and mints tickets for other nodes. A caller
 * gets its ticket with a refusal and presents it when it sends the request again, which then runs at most once.
 */
export class TicketRequests {
  readonly #services: NodeServices;

  readonly #table: OutboundCallTable;

  readonly #sender: AttemptSender;

  readonly #closer: OutboundCallCloser;

  /**
   * @param services - Services shared by the parts of this node.
   * @param table - Outbound calls of this node.
   * @param sender - Chooses VMs.
   * @param closer - Ends calls.
   */
  constructor(
    services: NodeServices,
    table: OutboundCallTable,
    sender: AttemptSender,
    closer: OutboundCallCloser,
  ) {
    this.#services = services;
    this.#table = table;
    this.#sender = sender;
    this.#closer = closer;
  }

  /**
   * Requests a ticket from a VM of the service, or refuses the call when no VM is left to ask.
   * @param call - Call without a ticket on a non-repeatable route.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  send(call: OutboundCall, nowMs: number): void {
    const vm = call.triedVms.size < TICKET_TRIES ? this.#sender.chooseVm(call, nowMs) : undefined;
    if (vm === undefined) {
      const retryAfterMs = computeRetryAfter(NO_TICKET_RETRY_MS, this.#services.random);
      this.#closer.refuse(call, createRefusal('noBackend', { retryAfterMs }));
      return;
    }
    const requestId = this.#sender.createId();
    call.state = 'waitingForTicket';
    call.attempt = { callId: requestId, vm, incarnation: undefined, granted: 0, sentMs: nowMs };
    call.triedVms.add(vm);
    this.#table.addAttempt(requestId, call);
    const { workspace, route } = call.context;
    const value = create(TicketRequestSchema, { requestId, workspace, route });
    this.#services.outbox.sendRequest(vm, { case: 'ticketRequest', value });
  }

  /**
   * Answers a node's request for a ticket.
   * @param peer - VM of the requesting node.
   * @param request - The request.
   * @param refusal - Refusal to send instead of a ticket, if any.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  answer(peer: string, request: TicketRequest, refusal: Refusal | undefined, nowMs: number): void {
    const { requestId, workspace, route } = request;
    const { outbox, tickets } = this.#services;
    const lifeMs = this.#services.findBundle()?.fleet.ticketLifeMs;
    if (refusal !== undefined || lifeMs === undefined) {
      const { reason, outcome } = refusal ?? createRefusal('starting');
      const value = create(RefusedSchema, {
        callId: requestId,
        reason,
        outcome: encodeOutcome(outcome),
      });
      outbox.sendReply(peer, { case: 'refused', value });
      return;
    }
    const ticket = tickets.mint(workspace, route, nowMs + lifeMs);
    const value = create(TicketGrantSchema, { requestId, ticket, lifeMs });
    outbox.sendReply(peer, { case: 'ticketGrant', value });
  }

  /**
   * Sends a ticket to the caller, with a refusal of the reason `ticketRequired`.
   * @param peer - VM that granted it.
   * @param grant - Granted ticket.
   */
  receiveGrant(peer: string, grant: TicketGrant): void {
    const call = this.#take(peer, grant.requestId);
    if (call === undefined) {
      return;
    }
    this.#closer.refuse(call, createRefusal('ticketRequired'), [
      ['tanagerpond-ticket', grant.ticket],
      ['tanagerpond-ticket-life-ms', String(grant.lifeMs)],
    ]);
  }

  /**
   * Requests a ticket from another VM after a refusal.
   * @param peer - VM that refused.
   * @param requestId - Id of the ticket request.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns False when the id names no waiting ticket request of this peer.
   */
  receiveRefused(peer: string, requestId: string, nowMs: number): boolean {
    const call = this.#table.findByAttempt(requestId);
    if (call?.state !== 'waitingForTicket' || call.attempt?.vm !== peer) {
      return false;
    }
    this.#retry(call, nowMs);
    return true;
  }

  /**
   * Requests from other VMs the tickets that a lost peer was asked for. A ticket that was lost on the way cannot cause
   * a run.
   * @param peer - VM whose link is lost.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordLinkLost(peer: string, nowMs: number): void {
    this.#table
      .list()
      .filter((call) => call.state === 'waitingForTicket' && call.attempt?.vm === peer)
      .forEach((call) => this.#retry(call, nowMs));
  }

  #retry(call: OutboundCall, nowMs: number): void {
    if (call.attempt !== undefined) {
      this.#table.removeAttempt(call.attempt.callId);
    }
    this.send(call, nowMs);
  }

  #take(peer: string, requestId: string): OutboundCall | undefined {
    const call = this.#table.findByAttempt(requestId);
    if (call?.state !== 'waitingForTicket' || call.attempt?.vm !== peer) {
      this.#services.counters.count('answersDropped');
      return undefined;
    }
    this.#table.removeAttempt(requestId);
    return call;
  }
}
