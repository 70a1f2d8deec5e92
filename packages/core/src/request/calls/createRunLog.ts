import type { NodeCommand } from '../../process/node/NodeCommand.js';
import type { BackendResult } from '../../process/node/NodeMessage.js';
import type { InboundCall } from './InboundCall.js';

/** First status that tells of a failure of the backend server. */
const FIRST_SERVER_FAILURE = 500;

/**
 * Creates the log line of a run that the backend server answered. Above `debug`, only failures are written, and answers
 * of which nothing but the close of the connection tells the end.
 * @param call - Call that ran.
 * @param answer - The answer.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function createRunLog(
  call: InboundCall,
  { status, framing, bodySize }: Extract<BackendResult, { kind: 'answered' }>,
  nowMs: number,
): NodeCommand {
  const { rootId: root, workspace, route } = call.context;
  const isNotable = status >= FIRST_SERVER_FAILURE || framing === 'close';
  return {
    kind: 'log',
    level: isNotable ? 'info' : 'debug',
    part: 'backend',
    text: 'run was answered',
    fields: {
      root,
      workspace,
      route,
      status,
      framing,
      bodySize,
      durationMs: Math.round(nowMs - call.startedMs),
      requester: call.replyTo[0]?.peer ?? '',
    },
  };
}
