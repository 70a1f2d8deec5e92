import type { NodeServices } from '../../process/node/NodeServices.js';
import { createRefusal } from '../refusals.js';
import { AttemptSender } from './AttemptSender.js';
import { OutboundAttempts } from './OutboundAttempts.js';
import { OutboundCallHandler } from './OutboundCallHandler.js';
import { OutboundCallCloser } from './OutboundCallCloser.js';
import { OutboundCallTable } from './OutboundCallTable.js';
import type { InboundCallTable } from './InboundCallTable.js';
import { TicketRequests } from './TicketRequests.js';

/** Outbound side of a node: the calls that it sends to VMs, for callers and for the local backend server. */
export class OutboundSide {
  readonly calls: OutboundCallHandler;

  readonly attempts: OutboundAttempts;

  readonly ticketRequests: TicketRequests;

  readonly #table = new OutboundCallTable();

  readonly #closer: OutboundCallCloser;

  /**
   * @param services - Services shared by the parts of this node.
   * @param inboundCalls - Calls of the local backend server, the parents of its outgoing calls.
   */
  constructor(services: NodeServices, inboundCalls: InboundCallTable) {
    const table = this.#table;
    const sender = new AttemptSender(services, table);
    const closer = new OutboundCallCloser(services, table, inboundCalls);
    const ticketRequests = new TicketRequests(services, table, sender, closer);
    const attempts = new OutboundAttempts(services, { table, sender, closer, ticketRequests });
    this.#closer = closer;
    this.ticketRequests = ticketRequests;
    this.attempts = attempts;
    this.calls = new OutboundCallHandler(services, {
      table,
      inboundCalls,
      sender,
      closer,
      attempts,
      ticketRequests,
    });
  }

  /** Number of open calls. */
  get size(): number {
    return this.#table.size;
  }

  /**
   * Cancels outgoing calls whose parent call has ended.
   * @param requestIds - Ids of the requests of the backend server.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  cancelChildren(requestIds: readonly string[], nowMs: number): void {
    requestIds.forEach((requestId) => {
      const call = this.#table.find(requestId);
      if (call !== undefined) {
        this.#closer.cancelAttempt(call, nowMs);
        this.#closer.refuse(call, createRefusal('cancelled'));
      }
    });
  }
}
