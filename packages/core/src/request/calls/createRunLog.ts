import type { NodeCommand } from '../../process/node/NodeCommand.js';
import type { ExitCall } from './ExitCall.js';

/** First status that tells of a failure of the backend server. */
const FIRST_SERVER_FAILURE = 500;

/**
 * Creates the log line of a run that the backend server answered. Only failures are written above `debug`.
 * @param call - Call that ran.
 * @param status - Status of the answer.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function createRunLog(call: ExitCall, status: number, nowMs: number): NodeCommand {
  const { rootId: root, workspace, route } = call.context;
  return {
    kind: 'log',
    level: status >= FIRST_SERVER_FAILURE ? 'info' : 'debug',
    part: 'backend',
    text: 'run was answered',
    fields: {
      root,
      workspace,
      route,
      status,
      durationMs: Math.round(nowMs - call.startedMs),
      requester: call.replyTo[0]?.peer ?? '',
    },
  };
}
