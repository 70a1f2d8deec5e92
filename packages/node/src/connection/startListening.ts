import type { AddressInfo, Server } from 'node:net';

/**
 * Starts a server.
 * @param server - TCP or HTTP server.
 * @param host - IP address.
 * @param port - Port; 0 selects any free port.
 * @returns Resolves with the port in use; rejects when the address cannot be used.
 */
export function startListening(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve((server.address() as AddressInfo).port));
  });
}
