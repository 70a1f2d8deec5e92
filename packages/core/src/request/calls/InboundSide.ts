import type { NodeServices } from '../../process/node/NodeServices.js';
import { BackendRuns } from './BackendRuns.js';
import { InboundCallHandler } from './InboundCallHandler.js';
import { InboundReplies } from './InboundReplies.js';
import type { InboundCallTable } from './InboundCallTable.js';

/** Inbound side of a node: the calls that nodes send to it for the local backend server. */
export class InboundSide {
  readonly calls: InboundCallHandler;

  readonly runs: BackendRuns;

  readonly #table: InboundCallTable;

  /**
   * @param services - Services shared by the parts of this node.
   * @param table - Calls of the local backend server.
   * @param cancelChildren - Cancels the outgoing calls of a call that has ended.
   */
  constructor(
    services: NodeServices,
    table: InboundCallTable,
    cancelChildren: (requestIds: readonly string[], nowMs: number) => void,
  ) {
    const replies = new InboundReplies(services);
    this.#table = table;
    this.runs = new BackendRuns(services, table, replies, cancelChildren);
    this.calls = new InboundCallHandler(services, table, replies, this.runs);
  }

  /** Number of calls that are queued or running. */
  get size(): number {
    return this.#table.size;
  }
}
