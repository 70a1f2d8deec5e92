import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Size of every answer, in bytes. */
const ANSWER_BYTES = 1024;

// Backend server of the benchmark. It answers at once, so that only the path of the calls makes a difference.
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
