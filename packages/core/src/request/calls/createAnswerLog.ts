import type { Answer } from '@tanagerpond/wire';
import type { NodeCommand } from '../../process/node/NodeCommand.js';
import { createDecisionBasis } from './createDecisionBasis.js';
import { createOutboundCallLog } from './createOutboundCallLog.js';
import type { OutboundCall } from './OutboundCall.js';

/** Lowest status of a failed answer. */
const FIRST_FAILURE = 400;

/**
 * Creates the log line for an answered call. Successes at the first attempt are logged at `debug` unless they may be
 * truncated: there are too many of them, and the metrics cover them.
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
  const { attempt, triedVms, startedMs } = call;
  const isNotable = answer.status >= FIRST_FAILURE || triedVms.size > 1 || answer.closeDelimited;
  const line = {
    level: isNotable ? ('info' as const) : ('debug' as const),
    text: 'call was answered',
    fields: {
      vm: attempt?.vm ?? '',
      attempts: triedVms.size,
      status: answer.status,
      replayed: answer.replayed,
      closeDelimited: answer.closeDelimited,
      durationMs: Math.round(nowMs - startedMs),
    },
  };
  return createOutboundCallLog(call, line, isNotable ? createDecisionBasis(call, self) : undefined);
}
