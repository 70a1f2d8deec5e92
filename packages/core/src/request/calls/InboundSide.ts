import type { NodeServices } from '../../process/node/NodeServices.js';
import { BackendRuns } from './BackendRuns.js';
import { InboundCallHandler } from './InboundCallHandler.js';
import { InboundReplies } from './InboundReplies.js';
import type { InboundCallTable } from './InboundCallTable.js';

/** The calls that a node's backend server runs. */
export class InboundSide {
  readonly calls: InboundCallHandler;

  readonly runs: BackendRuns;

  readonly #table: InboundCallTable;

  /**
   * @param services - What the call tables share.
   * @param table - Calls of the backend server.
   * @param cancelChildren - Ends outgoing calls of a call that has ended.
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

  /** Number of calls that are queued or run. */
  get size(): number {
    return this.#table.size;
  }
}
