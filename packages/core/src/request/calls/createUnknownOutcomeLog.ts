import type { NodeCommand } from '../../process/node/NodeCommand.js';
import type { RefusalReason } from '../refusals.js';
import type { InboundCall } from './InboundCall.js';

/**
 * Creates the log line for a run of which it is unknown whether it completed.
 * @param call - Call that ran.
 * @param reason - Refusal reason sent to the requester.
 */
export function createUnknownOutcomeLog(
  { context }: InboundCall,
  reason: RefusalReason,
): NodeCommand {
  const { rootId: root, workspace, route } = context;
  return {
    kind: 'log',
    // Not a warning: warnings with the same text are combined for some time, but each of these lines is about a
    // different request.
    level: 'info',
    part: 'backend',
    text: 'call ended with an unknown outcome',
    fields: { root, workspace, route, reason },
  };
}
