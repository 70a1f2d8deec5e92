import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { expect } from 'chai';
import { connection } from '@tanagerpond/testkit';
import { HealthPoller } from '../../../src/process/backend/index.js';
import { NATIVE_BACKEND_ADAPTER } from '../../../src/ports/index.js';
import { waitFor } from '../../support/waitFor.js';

/** Time limit of one poll, and the tolerance of the test, in milliseconds. */
const LIMIT_MS = 1_000;
const LATE_MS = 500;

const PAUSE_MS = 20;

/** Maximum bytes that one poll may accept: a few KiB and the socket buffers of both sides. */
const TAKEN_BYTES = 8 * 1024 * 1024;

const OK = 'HTTP/1.1 200 OK\r\n';

const HEALTHY = `${OK}content-length: 19\r\n\r\n{"state":"healthy"}`;

const STREAMS: Readonly<Record<string, connection.EndlessBytes>> = {
  'a status line': { head: 'HTTP/1.1 200 ', unit: 'O' },
  'header lines': { head: OK, unit: 'a: b\r\n' },
  '102 answers': { head: '', unit: 'HTTP/1.1 102 Processing\r\n\r\n' },
  'empty lines': { head: '\r\n', unit: '\r\n' },
  'a body without length': { head: `${OK}\r\n{"state":"healthy"}`, unit: ' ' },
  'chunks of one byte': {
    head: `${OK}transfer-encoding: chunked\r\n\r\n13\r\n{"state":"healthy"}\r\n`,
    unit: '1\r\n \r\n',
  },
  'a chunk extension': { head: `${OK}transfer-encoding: chunked\r\n\r\n5;a=`, unit: 'e' },
  'a body of a huge length': {
    head: `${OK}content-length: 1000000000000\r\n\r\n{"state":"healthy"}`,
    unit: ' ',
  },
  'no HTTP': { head: '', unit: '\x16\x03\x01' },
};

/** Endless bytes after a complete answer. */
const TAILS: Readonly<Record<string, string>> = {
  'more answers': HEALTHY,
  'empty lines': '\r\n',
  letters: 'x',
};

describe('HealthPoller with an endless answer', () => {
  let server: Server;
  let address: string;
  let stream: connection.EndlessBytes | undefined;
  let taken: number;
  let pouring: number;
  let states: string[];
  let poller: HealthPoller;

  beforeEach(async () => {
    taken = 0;
    pouring = 0;
    states = [];
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        if (stream === undefined) {
          socket.write(HEALTHY);
          return;
        }
        pouring += 1;
        socket.once('close', () => {
          pouring -= 1;
        });
        connection.writeEndlessBytes(socket, stream, (size) => {
          taken += size;
        });
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    poller = new HealthPoller({
      adapter: NATIVE_BACKEND_ADAPTER,
      mode: 'always',
      address,
      intervalMs: 20,
      publish: (message) => message.kind === 'backendHealth' && states.push(message.state),
    });
  });

  afterEach(async () => {
    await poller[Symbol.asyncDispose]();
    server.close();
  });

  async function expectHealthyNext(): Promise<void> {
    stream = undefined;
    await waitFor('the end of each stream', () => pouring === 0);
    await waitFor('a healthy answer', () => states.at(-1) === 'healthy');
  }

  Object.entries(STREAMS).forEach(([name, bytes]) => {
    [undefined, PAUSE_MS].forEach((pauseMs) => {
      const pace = pauseMs === undefined ? 'fast' : 'slowly';
      it(`guards against counting an endless answer as healthy, or polling no more after it (${name}, ${pace})`, async () => {
        stream = { ...bytes, ...(pauseMs === undefined ? {} : { pauseMs }) };
        const startedMs = performance.now();
        poller.start();
        await waitFor('one poll', () => states.length > 0);
        const tookMs = performance.now() - startedMs;
        expect(tookMs).to.be.below(LIMIT_MS + LATE_MS);
        expect(states[0]).to.equal('unreachable');
        expect(taken, 'bytes taken').to.be.at.most(TAKEN_BYTES);
        await expectHealthyNext();
      });
    });
  });

  Object.entries(TAILS).forEach(([name, unit]) => {
    it(`guards against reading on when a complete answer is followed by endless bytes (${name})`, async () => {
      stream = { head: HEALTHY, unit };
      poller.start();
      await waitFor('one poll', () => states.length > 0);
      await waitFor('the end of the stream', () => pouring === 0);
      stream = undefined;
      expect(taken / states.length, 'bytes taken by each poll').to.be.at.most(TAKEN_BYTES);
      await expectHealthyNext();
    });
  });
});
