import type { NodeCommand } from '../../process/node/NodeCommand.js';
import type { DecisionBasis } from '../../process/node/DecisionBasis.js';
import type { OutboundCall } from './OutboundCall.js';

type LogCommand = Extract<NodeCommand, { kind: 'log' }>;

/**
 * Creates a log line about an outbound call, with the fields that identify the call.
 * @param call - The call.
 * @param line - Level, text and further fields.
 * @param basis - Data that the decision was based on; absent for a line that needs no explanation.
 */
export function createOutboundCallLog(
  { context, parentCallId, attemptId }: OutboundCall,
  { level, text, fields }: Omit<Required<LogCommand>, 'kind' | 'part' | 'basis'>,
  basis?: DecisionBasis,
): LogCommand {
  return {
    kind: 'log',
    level,
    part: parentCallId === undefined ? 'caller' : 'egress',
    text,
    fields: {
      root: context.rootId,
      ...(attemptId === undefined ? {} : { request: attemptId }),
      workspace: context.workspace,
      route: context.route,
      version: context.bundleVersion,
      ...fields,
    },
    ...(basis === undefined ? {} : { basis }),
  };
}
