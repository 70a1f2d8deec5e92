import type { NodeCommand } from '../../process/node/NodeCommand.js';
import type { ShedLevelChange } from '../../process/trees/index.js';

/** Digits after the point of a level or a utilization in the log. */
const DIGITS = 3;

/**
 * Creates the log line of a change in how much of the requests that need a service is refused.
 * @param change - Level from 0, nothing, to the number of classes, and what it follows.
 */
export function createShedLog({
  service,
  level,
  utilization,
  rejected,
}: ShedLevelChange): NodeCommand {
  return {
    kind: 'log',
    level: 'info',
    part: 'overload',
    text: 'shed level of a service changed',
    fields: {
      service,
      shedLevel: Number(level.toFixed(DIGITS)),
      utilization: Number(utilization.toFixed(DIGITS)),
      rejected: Number(rejected.toFixed(DIGITS)),
    },
  };
}
