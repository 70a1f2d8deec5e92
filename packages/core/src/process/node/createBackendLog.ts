import type { BackendChange, BackendState } from './BackendHealth.js';
import type { NodeCommand } from './NodeCommand.js';

type LogLine = Pick<Extract<NodeCommand, { kind: 'log' }>, 'level' | 'text'>;

/** Level and text of the log line for each state of the backend server. */
const LINES: Readonly<Record<BackendState, LogLine>> = {
  up: { level: 'info', text: 'backend server is up again' },
  down: { level: 'warn', text: 'backend server is down' },
  draining: { level: 'info', text: 'backend server is draining' },
};

/**
 * Creates the log line for a change of the state of the backend server.
 * @param change - New state, and how long the previous one lasted.
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
