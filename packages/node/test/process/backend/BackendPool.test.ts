import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { node } from '@tanagerpond/core';
import { expect } from 'chai';
import { BackendPool, HealthPoller } from '../../../src/process/backend/index.js';
import { NATIVE_BACKEND_ADAPTER } from '../../../src/ports/index.js';
import { BodyStore } from '../../../src/process/bodies/index.js';
import { Counters } from '../../../src/process/metrics/index.js';
import { waitFor } from '../../support/waitFor.js';

const BUDGET = 100_000;

/** Answers one raw HTTP request; the text has its request line and headers. */
type RawHandler = (socket: Socket, text: string) => void;

/** Monotonic time at which the heads of all answers are read, in milliseconds. */
const HEAD_MS = 7;

describe('BackendPool and HealthPoller', () => {
  let server: Server;
  let address: string;
  let handle: RawHandler;
  let requests: string[];
  let store: BodyStore;
  let pool: BackendPool;
  let results: Map<string, node.BackendResult>;

  beforeEach(async () => {
    requests = [];
    handle = (socket) => socket.end();
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', (bytes) => {
        requests.push(bytes.toString());
        handle(socket, bytes.toString());
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    store = new BodyStore(BUDGET);
    results = new Map();
    pool = createPool(address, 2);
  });

  afterEach(async () => {
    await pool[Symbol.asyncDispose]();
    server.close();
  });

  function createPool(to: string, connections: number): BackendPool {
    return new BackendPool({
      adapter: NATIVE_BACKEND_ADAPTER,
      address: to,
      connections,
      connectLimitMs: 200,
      store,
      counters: new Counters(),
      now: () => HEAD_MS,
      publish: (message) => {
        if (message.kind === 'backendResult') {
          expect(results.has(message.callId)).to.equal(false);
          results.set(message.callId, message.result);
        }
      },
    });
  }

  /** Calls the backend server and waits for the result. */
  async function call(
    callId: string,
    options: Partial<Extract<node.NodeCommand, { kind: 'callBackend' }>> = {},
  ): Promise<node.BackendResult | undefined> {
    begin(callId, options);
    await waitFor(`the result of ${callId}`, () => results.has(callId));
    return results.get(callId);
  }

  function begin(
    callId: string,
    options: Partial<Extract<node.NodeCommand, { kind: 'callBackend' }>> = {},
  ): void {
    const command = {
      kind: 'callBackend',
      callId,
      method: 'POST',
      target: '/x',
      headers: [],
      bodyOf: 'body',
      timeoutMs: 3_000,
      maxAnswer: 1_000,
      ...options,
    } as const;
    pool.call(command, { bytes: Buffer.from('body'), release: () => undefined });
  }

  it('guards against forwarding connection headers or the key to the backend server', async () => {
    handle = (socket) =>
      socket.write(
        'HTTP/1.1 200 OK\r\nconnection: x\r\nx: 1\r\nA: b\r\ncontent-length: 2\r\n\r\nok',
      );
    const result = await call('c', {
      headers: [
        ['host', 'caller'],
        ['authorization', 'secret'],
        ['connection', 'hop'],
        ['hop', '1'],
        ['transfer-encoding', 'chunked'],
        ['content-length', '99'],
        ['x-kept', '1'],
      ],
    });
    expect(result).to.deep.equal({
      kind: 'answered',
      status: 200,
      headers: [['a', 'b']],
      bodySize: 2,
      framing: 'length',
      shed: false,
      notice: { headMs: HEAD_MS, isRateLimitMalformed: false, isLeaving: false },
    });
    expect(store.takeReference('c')?.bytes.toString()).to.equal('ok');
    expect(requests[0].toLowerCase()).to.match(/^post \/x http\/1.1\r\n/);
    expect(requests[0]).to.include('x-kept: 1').and.include('content-length: 4');
    expect(requests[0]).to.not.match(/secret|caller|hop|chunked/);
  });

  it('guards against reporting "not sent" for a request of which a byte was sent, and the reverse', async () => {
    expect(await call('closed')).to.deep.equal({ kind: 'broken' });
    handle = (socket) => socket.destroy();
    expect(await call('reset')).to.deep.equal({ kind: 'broken' });
    expect(await call('repeatable', { method: 'GET' })).to.deep.equal({ kind: 'broken' });
    expect(requests.length).to.equal(3);
    await pool[Symbol.asyncDispose]();
    server.close();
    pool = createPool('127.0.0.1:1', 1);
    expect(await call('refused')).to.deep.equal({ kind: 'notSent' });
  });

  it('guards against accepting a truncated answer, or one without a length, as complete', async () => {
    handle = (socket) => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfour');
    expect(await call('truncated')).to.deep.equal({ kind: 'broken' });
    handle = (socket) =>
      socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n');
    expect(await call('unfinished')).to.deep.equal({ kind: 'broken' });
    handle = (socket) => socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nfour');
    expect(await call('unframed')).to.deep.equal({ kind: 'broken' });
    expect([store.used, store.count]).to.deep.equal([0, 0]);
  });

  it('guards against accepting an answer beyond the limit of the route or the budget', async () => {
    handle = (socket) => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n');
    expect(await call('declared')).to.deep.equal({ kind: 'answerTooLarge' });
    handle = (socket) =>
      socket.write(
        `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n${'x'.repeat(1001)}`,
      );
    expect(await call('chunked')).to.deep.equal({ kind: 'answerTooLarge' });
    handle = (socket) => socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${BUDGET + 1}\r\n\r\n`);
    expect(await call('budget', { maxAnswer: BUDGET + 1 })).to.deep.equal({
      kind: 'answerTooLarge',
    });
    expect(store.used).to.equal(0);
  });

  it('guards against counting a shed request as run', async () => {
    handle = (socket) =>
      socket.write('HTTP/1.1 503 Busy\r\ntanagerpond-shed: not-run\r\ncontent-length: 0\r\n\r\n');
    expect(await call('shed')).to.include({ kind: 'answered', status: 503, shed: true });
    handle = (socket) =>
      socket.write('HTTP/1.1 200 OK\r\ntanagerpond-shed: not-run\r\ncontent-length: 0\r\n\r\n');
    expect(await call('run')).to.include({ kind: 'answered', status: 200, shed: false });
  });

  it('guards against a cancelled or expired call that continues at the backend server', async () => {
    let closed = 0;
    handle = (socket) => {
      socket.once('close', () => {
        closed += 1;
      });
    };
    begin('cancelled');
    await waitFor('the request', () => requests.length === 1);
    pool.cancel('cancelled');
    expect(results.get('cancelled')).to.deep.equal({ kind: 'cancelled' });
    expect(await call('expired', { timeoutMs: 50 })).to.deep.equal({ kind: 'cancelled' });
    await waitFor('the end of both connections', () => closed === 2);
    expect(pool.inFlight).to.equal(0);
  });

  it('guards against sending a call that was cancelled while it waited for a connection', async () => {
    await pool[Symbol.asyncDispose]();
    pool = createPool(address, 1);
    handle = () => undefined;
    begin('first');
    await waitFor('the first request', () => requests.length === 1);
    begin('cancelled');
    expect(await call('expired', { timeoutMs: 30 })).to.deep.equal({ kind: 'notSent' });
    pool.cancel('cancelled');
    expect(results.get('cancelled')).to.deep.equal({ kind: 'cancelled' });
    handle = (socket) => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
    pool.cancel('first');
    expect(await call('last', { target: '/last' })).to.include({ kind: 'answered' });
    expect(requests.length).to.equal(2);
  });

  it('guards against reporting the wrong health of the backend server', async () => {
    const states: string[] = [];
    const bodies = ['{"state":"healthy"}', '{"state":"draining"}', '{"state":"odd"}', 'text'];
    handle = (socket) => {
      const body = bodies.shift() ?? '';
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
    };
    await using poller = new HealthPoller({
      adapter: NATIVE_BACKEND_ADAPTER,
      mode: 'always',
      address,
      intervalMs: 5,
      publish: (message) => message.kind === 'backendHealth' && states.push(message.state),
    });
    poller.start();
    await waitFor('four polls', () => states.length >= 4);
    expect(states.slice(0, 4)).to.deep.equal(['healthy', 'draining', 'unreachable', 'unreachable']);
  });
});
