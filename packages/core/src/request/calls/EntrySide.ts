import type { NodeServices } from '../../process/node/NodeServices.js';
import { createRefusal } from '../refusals.js';
import { AttemptSender } from './AttemptSender.js';
import { OutboundAttempts } from './OutboundAttempts.js';
import { EntryCalls } from './EntryCalls.js';
import { OutboundCallCloser } from './OutboundCallCloser.js';
import { OutboundCallTable } from './OutboundCallTable.js';
import type { InboundCallTable } from './InboundCallTable.js';
import { TicketRequests } from './TicketRequests.js';

/** The calls that a node starts, for callers and for its own backend server. */
export class EntrySide {
  readonly calls: EntryCalls;

  readonly attempts: OutboundAttempts;

  readonly ticketRequests: TicketRequests;

  readonly #table = new OutboundCallTable();

  readonly #closer: OutboundCallCloser;

  /**
   * @param services - What the call tables share.
   * @param exits - Calls of the own backend server, the parents of outgoing calls.
   */
  constructor(services: NodeServices, exits: InboundCallTable) {
    const table = this.#table;
    const sender = new AttemptSender(services, table);
    const closer = new OutboundCallCloser(services, table, exits);
    const ticketRequests = new TicketRequests(services, table, sender, closer);
    const attempts = new OutboundAttempts(services, { table, sender, closer, ticketRequests });
    this.#closer = closer;
    this.ticketRequests = ticketRequests;
    this.attempts = attempts;
    this.calls = new EntryCalls(services, {
      table,
      exits,
      sender,
      closer,
      attempts,
      ticketRequests,
    });
  }

  /** Number of calls that are not done. */
  get size(): number {
    return this.#table.size;
  }

  /**
   * Ends outgoing calls whose parent has ended.
   * @param requestIds - Requests of the backend server.
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
