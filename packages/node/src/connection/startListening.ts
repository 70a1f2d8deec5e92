import type { AddressInfo, Server } from 'node:net';

/**
 * Begins to listen.
 * @param server - Server of any kind that is built on TCP.
 * @param host - IP address.
 * @param port - Port; 0 for any free one.
 * @returns The port in use. Rejects when the address cannot be used.
 */
export function startListening(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve((server.address() as AddressInfo).port));
  });
}
