import type { NodeCommand } from '../../process/node/NodeCommand.js';
import type { RefusalReason } from '../refusals.js';
import type { InboundCall } from './InboundCall.js';

/**
 * Creates the log line of a call whose run ended in a way that nobody can know.
 * @param call - Call that ran.
 * @param reason - What its requester hears.
 */
export function createUnknownLog({ context }: InboundCall, reason: RefusalReason): NodeCommand {
  const { rootId: root, workspace, route } = context;
  return {
    kind: 'log',
    // Warnings with the same text are counted within a while; each of these lines is about another request.
    level: 'info',
    part: 'backend',
    text: 'call ended with an unknown outcome',
    fields: { root, workspace, route, reason },
  };
}
