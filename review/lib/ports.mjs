/** Chooses free ports for the nodes and instances of a case. */
import { once } from 'node:events';
import { createServer } from 'node:net';

/** Range below the ephemeral ports, so that no outgoing connection takes one of them. */
const FIRST_PORT = 20_000;
const PORT_SPAN = 12_000;

/** Ports of one VM: peers, admin, readiness, callers, instance. */
const PORTS_PER_VM = 5;

async function isFree(host, port) {
  const server = createServer();
  try {
    server.listen(port, host);
    await once(server, 'listening');
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
}

/** Chooses consecutive ports that are free on all hosts. */
export async function choosePorts(hosts) {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const first = FIRST_PORT + Math.floor(Math.random() * PORT_SPAN);
    const ports = Array.from({ length: PORTS_PER_VM }, (_unused, index) => first + index);
    const free = await Promise.all(
      hosts.flatMap((host) => ports.map((port) => isFree(host, port))),
    );
    if (free.every(Boolean)) {
      const [peer, admin, ready, caller, instance] = ports;
      return { peer, admin, ready, caller, instance };
    }
  }
  throw new Error('no free ports');
}
