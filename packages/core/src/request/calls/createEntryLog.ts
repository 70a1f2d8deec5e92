import type { NodeCommand } from '../../process/node/NodeCommand.js';
import type { DecisionBasis } from '../../process/node/DecisionBasis.js';
import type { OutboundCall } from './OutboundCall.js';

type LogCommand = Extract<NodeCommand, { kind: 'log' }>;

/**
 * Creates a log line about a call that this node started, with what identifies it.
 * @param call - The call.
 * @param line - Level, text and what the line says besides.
 * @param basis - What decided; absent for a line that needs no explanation.
 */
export function createEntryLog(
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
