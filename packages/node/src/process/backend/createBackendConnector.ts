import { buildConnector } from 'undici';
import { limitAnswerOverhead } from '../http/index.js';
import { failOnReset } from './failOnReset.js';

/** Code of an error that the library does not take for the end of an answer. */
const BROKEN_CODE = 'ECONNABORTED';

/**
 * Creates the connector of the connections to the backend server. The library takes a reset for the regular end of an
 * answer without a length, so that a part of it would look whole. Its own handler comes after this one.
 * @param connectLimitMs - Time limit of a new connection, in milliseconds.
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
