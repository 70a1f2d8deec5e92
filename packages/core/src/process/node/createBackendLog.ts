import type { BackendChange, BackendState } from './BackendHealth.js';
import type { NodeCommand } from './NodeCommand.js';

type LogLine = Pick<Extract<NodeCommand, { kind: 'log' }>, 'level' | 'text'>;

/** How each state of the backend server is told. */
const LINES: Readonly<Record<BackendState, LogLine>> = {
  up: { level: 'info', text: 'backend server is up again' },
  down: { level: 'warn', text: 'backend server is down' },
  draining: { level: 'info', text: 'backend server is draining' },
};

/**
 * Creates the log line of a backend server that was lost, regained, or begins to drain.
 * @param change - New state, and how long the one before lasted.
 */
export function createBackendLog(change: BackendChange): NodeCommand {
  const { state, former, formerMs, lastAnswerAgeMs } = change;
  return {
    kind: 'log',
    part: 'backend',
    ...LINES[state],
    fields: {
      ...(former === undefined ? {} : { former }),
      ...(formerMs === undefined
        ? {}
        : { [state === 'up' ? 'awayMs' : 'formerMs']: Math.round(formerMs) }),
      ...(lastAnswerAgeMs === undefined ? {} : { lastAnswerAgeMs: Math.round(lastAnswerAgeMs) }),
    },
  };
}
