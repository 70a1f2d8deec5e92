import type { Answer } from '@tanagerpond/wire';
import type { NodeCommand } from '../../process/node/NodeCommand.js';
import { createBasis } from './createBasis.js';
import { createEntryLog } from './createEntryLog.js';
import type { OutboundCall } from './OutboundCall.js';

/** First status that tells a caller of a failure. */
const FIRST_FAILURE = 400;

/**
 * Creates the log line of a call that was answered. Successes at the first attempt with a proved end are written at
 * `debug`: there are too many, and what remains to be explained of them is in the metrics.
 * @param call - Call that was answered.
 * @param answer - Its answer.
 * @param self - Name of the own VM.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function createAnswerLog(
  call: OutboundCall,
  answer: Answer,
  self: string,
  nowMs: number,
): NodeCommand {
  const { attempt, tried, startedMs } = call;
  const isNotable = answer.status >= FIRST_FAILURE || tried.size > 1 || answer.closeDelimited;
  const line = {
    level: isNotable ? ('info' as const) : ('debug' as const),
    text: 'call was answered',
    fields: {
      vm: attempt?.vm ?? '',
      attempts: tried.size,
      status: answer.status,
      replayed: answer.replayed,
      closeDelimited: answer.closeDelimited,
      durationMs: Math.round(nowMs - startedMs),
    },
  };
  return createEntryLog(call, line, isNotable ? createBasis(call, self) : undefined);
}
