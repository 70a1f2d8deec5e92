import type { NodeCommand } from '../../process/node/NodeCommand.js';
import type { ShedLevelChange } from '../../process/trees/index.js';

/** Decimal places of the numbers in the log line. */
const DIGITS = 3;

/**
 * Creates the log line for a change of the shed level of a service.
 * @param change - New level, from 0 (nothing is shed) to the number of priority classes, and the measurements that it
 * follows.
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
