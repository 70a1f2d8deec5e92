import type { Socket } from 'node:net';
import { errors } from 'undici';

/**
 * Makes a socket fail with an error when its connection was reset. When a reset arrives together with the last bytes,
 * Node.js emits `end` as for an orderly close; such a socket is recognized by its missing remote address.
 * @param socket - Connected socket whose `remoteAddress` has not been read yet, because Node.js caches the value.
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
