import { buildConnector } from 'undici';
import { limitAnswerOverhead } from '../http/index.js';
import { failOnReset } from './failOnReset.js';

/** Error code that undici does not treat as the end of an answer. */
const BROKEN_CODE = 'ECONNABORTED';

/**
 * Creates the connector for connections to the backend server. Undici treats a connection reset (`ECONNRESET`) as the
 * regular end of an answer without a length, which makes a truncated answer look complete. The error handler added here
 * runs before undici's and replaces the error code.
 * @param connectLimitMs - Time limit for opening a connection, in milliseconds.
 */
export function createBackendConnector(connectLimitMs: number): buildConnector.connector {
  const connect = limitAnswerOverhead(buildConnector({ timeout: connectLimitMs }));
  return (options, callback) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        socket.on('error', markBroken);
        failOnReset(socket);
      }
      callback(...result);
    });
  };
}

function markBroken(error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') {
    Object.assign(error, { code: BROKEN_CODE });
  }
}
