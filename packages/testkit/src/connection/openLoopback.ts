import type * as http from 'node:http';
import type * as net from 'node:net';

/**
 * Opens a server on a loopback port.
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
 * Closes a server and every connection that it still has.
 * @param server - Server that listens.
 */
export async function closeServer(server: http.Server | net.Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
    if ('closeAllConnections' in server) {
      server.closeAllConnections();
    }
  });
}
