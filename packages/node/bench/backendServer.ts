import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Answer of every call, in bytes. */
const ANSWER_BYTES = 1024;

// The backend server of the measurement: answers at once, so that the path is all that differs.
const answer = Buffer.alloc(ANSWER_BYTES, 'a');

const server = createServer((incoming, outgoing) => {
  incoming.resume();
  incoming.once('end', () => {
    const body = incoming.url === '/health' ? Buffer.from('{"state":"healthy"}') : answer;
    outgoing.writeHead(200, { 'content-length': body.length });
    outgoing.end(body);
  });
});

server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as AddressInfo;
  process.stdout.write(`${JSON.stringify({ address: `127.0.0.1:${port}` })}\n`);
});
