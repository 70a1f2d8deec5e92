import type { Socket } from 'node:net';
import { errors } from 'undici';

/**
 * Makes a connection that was reset end with an error. Where the reset arrives together with the last bytes, Node.js
 * shows an orderly end in its place; a connection that was reset has no peer any more.
 * @param socket - Connected socket whose remote address was not read yet: it would be remembered.
 */
export function failOnReset(socket: Socket): void {
  const emit = socket.emit.bind(socket) as (event: string, ...values: unknown[]) => boolean;
  Object.assign(socket, {
    emit: (event: string, ...values: unknown[]) => {
      if (event !== 'end' || socket.remoteAddress !== undefined) {
        return emit(event, ...values);
      }
      socket.destroy(new errors.SocketError('connection was reset'));
      return true;
    },
  });
}
