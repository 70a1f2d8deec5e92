import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { node } from '@tanagerpond/core';
import { expect } from 'chai';
import { NATIVE_BACKEND_ADAPTER } from '../../../src/ports/index.js';
import { BackendPool } from '../../../src/process/backend/index.js';
import { BodyStore } from '../../../src/process/bodies/index.js';
import { Counters } from '../../../src/process/metrics/index.js';
import { waitFor } from '../../support/waitFor.js';

/** Number of calls in a test. Only some resets arrive together with the last bytes, the case that Node.js hides. */
const CALLS = 20;

const PART = 'HTTP/1.1 200 OK\r\n\r\npart';

describe('BackendPool with answers that end with their connection', () => {
  let server: Server;
  let endAnswer: (socket: Socket) => void;
  let pool: BackendPool;
  let results: node.BackendResult[];

  beforeEach(async () => {
    results = [];
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => endAnswer(socket));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    pool = new BackendPool({
      adapter: { ...NATIVE_BACKEND_ADAPTER, allowsUnframedAnswers: true },
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      connections: CALLS,
      connectLimitMs: 1_000,
      store: new BodyStore(100_000),
      counters: new Counters(),
      now: () => performance.now(),
      publish: (message) => {
        if (message.kind === 'backendResult') {
          results.push(message.result);
        }
      },
    });
  });

  afterEach(async () => {
    await pool[Symbol.asyncDispose]();
    server.close();
  });

  async function callAll(): Promise<readonly string[]> {
    Array.from({ length: CALLS }, (_, index) =>
      pool.call(
        {
          kind: 'callBackend',
          callId: `c${index}`,
          method: 'GET',
          target: '/x',
          headers: [],
          bodyOf: '',
          timeoutMs: 3_000,
          maxAnswer: 1_000,
        },
        { bytes: Buffer.alloc(0), release: () => undefined },
      ),
    );
    await waitFor('the results', () => results.length === CALLS);
    return [...new Set(results.map(({ kind }) => kind))];
  }

  it('guards against mistaking a reset that arrives with the last bytes for an orderly close', async () => {
    endAnswer = (socket) => socket.write(PART, () => socket.resetAndDestroy());
    expect(await callAll()).to.deep.equal(['broken']);
  });

  it('guards against mistaking an orderly close for a reset', async () => {
    endAnswer = (socket) => socket.end(PART);
    expect(await callAll()).to.deep.equal(['answered']);
  });
});
