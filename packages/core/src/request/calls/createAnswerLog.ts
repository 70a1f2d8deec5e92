import type { Answer } from '@tanagerpond/wire';
import type { NodeCommand } from '../../process/node/NodeCommand.js';
import type { EntryCall } from './EntryCall.js';

/** First status that tells a caller of a failure. */
const FIRST_FAILURE = 400;

/**
 * Creates the log line of a call that was answered. Successes at the first attempt are written at `debug`: there are
 * too many, and what remains to be explained of them is in the metrics.
 * @param call - Call that was answered.
 * @param answer - Its answer.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function createAnswerLog(call: EntryCall, answer: Answer, nowMs: number): NodeCommand {
  const { context, parentCallId, attempt, attemptId, tried, startedMs } = call;
  const { rootId: root, workspace, route, bundleVersion: version } = context;
  const isNotable = answer.status >= FIRST_FAILURE || tried.size > 1;
  return {
    kind: 'log',
    level: isNotable ? 'info' : 'debug',
    part: parentCallId === undefined ? 'caller' : 'egress',
    text: 'call was answered',
    fields: {
      root,
      ...(attemptId === undefined ? {} : { request: attemptId }),
      workspace,
      route,
      version,
      vm: attempt?.vm ?? '',
      attempts: tried.size,
      status: answer.status,
      replayed: answer.replayed,
      durationMs: Math.round(nowMs - startedMs),
    },
  };
}
