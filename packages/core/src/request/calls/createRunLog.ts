import type { NodeCommand } from '../../process/node/NodeCommand.js';
import type { BackendResult } from '../../process/node/NodeMessage.js';
import type { InboundCall } from './InboundCall.js';

/** Lowest status of a failure of the backend server. */
const FIRST_SERVER_FAILURE = 500;

/**
 * Creates the log line for a run that the backend server answered. Failures, and answers whose end only the close of
 * the connection marks, are logged at `info`; all others at `debug`.
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
