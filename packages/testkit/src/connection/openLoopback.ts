import type * as http from 'node:http';
import type * as net from 'node:net';

/**
 * Makes a server listen on a loopback port. Rejects if the port is in use.
 * @param server - HTTP or TCP server that does not listen yet.
 * @param port - Port, or 0 for a free one.
 * @returns `127.0.0.1:port`.
 */
export async function openLoopback(server: http.Server | net.Server, port = 0): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => {
      server.off('error', reject);
      resolve();
    });
  });
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/**
 * Closes a server and waits until its last connection has closed. Open connections are closed for an HTTP server; those
 * of a TCP server must be closed by the caller.
 * @param server - Server that is listening.
 */
export async function closeServer(server: http.Server | net.Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
    if ('closeAllConnections' in server) {
      server.closeAllConnections();
    }
  });
}
