import { createHash, randomBytes } from 'node:crypto';
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { Readable } from 'node:stream';
import { setTimeout as wait } from 'node:timers/promises';
import { request as coreRequest } from '@tanagerpond/core';
import type { node } from '@tanagerpond/core';
import { expect } from 'chai';
import { request } from 'undici';
import { BodyStore } from '../../src/process/bodies/index.js';
import { Counters, LatencyHistogram } from '../../src/process/metrics/index.js';
import { NATIVE_EDGE_ADAPTER } from '../../src/ports/index.js';
import { RequestListener } from '../../src/request/index.js';
import { WorkQueue } from '../../src/process/scheduling/index.js';
import { waitFor } from '../support/waitFor.js';

const MAX_BODY = 64 * 1024;

/** Size of an answer that exceeds the buffers of a connection, in bytes. */
const ANSWER_BYTES = 32 * 1024 * 1024;

/** Time in which a request would be passed on, in milliseconds. */
const SETTLE_MS = 50;

/** Delay of an answer, in which the next bytes of the client are read, in milliseconds. */
const ANSWER_AFTER_MS = 100;

/** Time after which the client continues to read a large answer, in milliseconds. */
const READ_AFTER_MS = 100;

const KEY = `tpk_${'aB3_-'.repeat(8)}abc`;

type Arrived = Extract<node.NodeMessage, { kind: 'callerRequest' | 'egressRequest' }>;

describe('RequestListener', () => {
  let store: BodyStore;
  let counters: Counters;
  let listener: RequestListener;
  let origin: string;
  let port: number;
  let arrived: Arrived[];
  let gone: string[];
  let reply: (message: Arrived) => void;

  async function start(part: 'caller' | 'egress'): Promise<void> {
    store = new BodyStore(2 * MAX_BODY);
    const work = new WorkQueue({ now: () => performance.now(), log: { write: () => undefined } });
    counters = new Counters();
    arrived = [];
    gone = [];
    listener = new RequestListener({
      adapter: NATIVE_EDGE_ADAPTER,
      part,
      limits: {
        maxBody: MAX_BODY,
        headerBytes: 4096,
        headerLimitMs: 300,
        requestLimitMs: 600,
        connections: 3,
        keepAliveMs: 30_000,
      },
      store,
      counters,
      latency: new LatencyHistogram(),
      now: () => performance.now(),
      addWork: (task) => work.add(task),
      buildRequestId: () => `r${arrived.length}`,
      publish: (message) => {
        if (message.kind === 'callerRequest' || message.kind === 'egressRequest') {
          arrived.push(message);
          reply(message);
        } else if (message.kind === 'requesterGone') {
          gone.push(message.requestId);
        }
      },
    });
    port = await listener.listen('127.0.0.1', 0);
    origin = `http://127.0.0.1:${port}`;
    reply = ({ request: { requestId, bodySize } }) => {
      const body = store.takeReference(bodySize > 0 ? requestId : '');
      store.release(requestId);
      if (body !== undefined) {
        listener.answer(
          requestId,
          { status: 200, headers: [['x-a', '1']], closeDelimited: false },
          body,
        );
      }
    };
  }

  beforeEach(() => start('caller'));

  afterEach(() => listener[Symbol.asyncDispose]());

  /** Sends raw text and reads until the listener closes the connection. */
  async function sendRaw(text: string): Promise<string> {
    const socket = connect(port, '127.0.0.1');
    let answer = '';
    socket.on('data', (bytes: Buffer) => {
      answer += bytes.toString();
    });
    socket.write(text);
    await new Promise((resolve) => {
      socket.once('close', resolve);
      socket.once('error', resolve);
    });
    return answer;
  }

  it('guards against a body or digest that differs from what the client sent', async () => {
    const body = randomBytes(50_000);
    const answer = await request(`${origin}/s/x?y=%2F`, { method: 'PUT', body });
    expect(Buffer.from(await answer.body.arrayBuffer()).equals(body)).to.equal(true);
    expect(answer.headers).to.include({ 'x-a': '1', 'tanagerpond-outcome': 'complete' });
    expect(arrived[0].request).to.include({
      method: 'PUT',
      target: '/s/x?y=%2F',
      bodySize: 50_000,
      bodyDigest: createHash('sha256').update(body).digest('hex'),
      bodyHasKey: false,
    });
    expect(store.used).to.equal(0);
  });

  it('guards against a client that is known to have left only when its connection is closed', async () => {
    const large = { size: 0, release: () => undefined, tryGrow: () => true };
    reply = ({ request: { requestId, target } }) => {
      if (target === '/large') {
        store.add('large', Buffer.alloc(ANSWER_BYTES), large);
        const body = store.takeReference('large');
        if (body !== undefined) {
          listener.answer(requestId, { status: 200, headers: [], closeDelimited: false }, body);
        }
      }
    };
    const socket = connect(port, '127.0.0.1');
    socket.pause();
    ['/large', '/waits'].forEach((target) =>
      socket.write(`GET ${target} HTTP/1.1\r\nhost: a\r\n\r\n`),
    );
    await waitFor('both requests', () => arrived.length === 2);
    socket.end();
    await waitFor('the end of the waiting request', () => gone.length === 1);
    expect(gone).to.deep.equal(['r1']);
    socket.destroy();
  });

  it('guards against a request that is passed on and cut off because it was completed after the listener began to close', async () => {
    const socket = connect(port, '127.0.0.1');
    let answer = '';
    socket.on('data', (bytes) => {
      answer += bytes.toString();
    });
    socket.write('GET / HTTP/1.1\r\nhost: a\r\n');
    await wait(SETTLE_MS);
    const closed = listener[Symbol.asyncDispose]();
    await wait(SETTLE_MS);
    socket.write('\r\n');
    await Promise.all([closed, once(socket, 'close')]);
    expect(arrived).to.deep.equal([]);
    expect(answer).to.match(/^HTTP\/1.1 503 .*not-run/s);
  });

  it('guards against a request that is passed on although its client left before the process read it', async () => {
    const socket = connect(port, '127.0.0.1');
    await once(socket, 'connect');
    socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
    socket.destroy();
    await waitFor('the request', () => counters.read().caller_requests === 1);
    await wait(SETTLE_MS);
    expect(arrived).to.deep.equal([]);
    expect(store.used).to.equal(0);
  });

  it('guards against missing a key in a body, and against reporting a key where there is none', async () => {
    const bodies = [`x${KEY}y`, `tpk_tpk_${KEY}`, KEY.slice(0, -1), `${KEY.slice(0, -1)} x`, ''];
    for (let index = 0; index < bodies.length; index++) {
      await (await request(origin, { method: 'POST', body: bodies[index] })).body.dump();
    }
    const found = bodies.map(
      (body) => arrived.find(({ request: { bodySize } }) => bodySize === body.length)?.request,
    );
    expect(found.map((one) => one?.bodyHasKey)).to.deep.equal([true, true, false, false, false]);
    expect(found.at(-1)?.bodyDigest).to.equal('');
  });

  it('guards against accepting a body beyond the limit, with or without a declared length', async () => {
    const large = Buffer.alloc(MAX_BODY + 1);
    const declared = await request(origin, { method: 'POST', body: large });
    const chunked = await request(origin, {
      method: 'POST',
      body: Readable.from([large]),
    });
    const refusals = await Promise.all([declared, chunked].map(({ body }) => body.json()));
    expect([declared.statusCode, chunked.statusCode]).to.deep.equal([413, 413]);
    expect(declared.headers).to.include({
      'tanagerpond-outcome': 'not-run',
      'tanagerpond-reason': 'bodyTooLarge',
    });
    expect(refusals[0]).to.deep.equal({
      reason: 'bodyTooLarge',
      outcome: 'not-run',
      detail: `largest body ${MAX_BODY} bytes`,
    });
    expect([arrived.length, store.used]).to.deep.equal([0, 0]);
  });

  it('guards against accepting requests beyond the budget of the process', async () => {
    const blocked = store.tryReserve(2 * MAX_BODY - 10);
    const answer = await request(origin, { method: 'POST', body: 'more than ten bytes' });
    expect(answer.statusCode).to.equal(503);
    expect(Number(answer.headers['tanagerpond-retry-after-ms'])).to.be.within(500, 1500);
    expect(Number(answer.headers['retry-after'])).to.be.within(1, 2);
    expect(await answer.body.json()).to.include({ reason: 'buffersFull', outcome: 'not-run' });
    blocked?.release();
    expect(store.used).to.equal(0);
  });

  it('guards against malformed requests that get no refusal', async () => {
    const answers = await Promise.all([
      sendRaw('NOT HTTP\r\n\r\n'),
      sendRaw(`GET / HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(5000)}\r\n\r\n`),
      sendRaw('GET / HTTP/1.1\r\nhost: a b<>\r\n\r\n'),
    ]);
    answers.forEach((answer) => {
      expect(answer).to.match(/^HTTP\/1.1 400 /);
      expect(answer).to.match(/tanagerpond-outcome: not-run/i);
      expect(answer).to.include('"reason":"requestMalformed"');
    });
    expect(arrived).to.deep.equal([]);
  });

  it('guards against request smuggling with both a length and chunks', async () => {
    const answer = await sendRaw(
      'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nabc',
    );
    expect(answer).to.match(/^HTTP\/1.1 400 /);
    expect(arrived).to.deep.equal([]);
  });

  it('guards against a slow client that keeps its connection and buffers forever', async () => {
    const [header, body] = await Promise.all([
      sendRaw('GET / HTTP/1.1\r\nhost: a\r\n'),
      sendRaw('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\nabc'),
    ]);
    expect(header).to.match(/^HTTP\/1.1 400 /);
    expect(body).to.match(/^HTTP\/1.1 400 /);
    await waitFor('the release of the buffers', () => store.used === 0);
    expect(arrived).to.deep.equal([]);
  });

  it('guards against a refusal of malformed bytes that the client reads as the answer to the previous request', async () => {
    const answerNow = reply;
    reply = (message) => {
      setTimeout(() => answerNow(message), ANSWER_AFTER_MS);
    };
    const text = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc';
    const answer = await sendRaw(`${text}NOT HTTP\r\n\r\n`);
    expect(answer).to.match(/^HTTP\/1.1 200 .*\r\nconnection: close\r\n.*\r\n\r\nabc$/is);
    expect([arrived.length, gone.length]).to.deep.equal([1, 0]);
  });

  it('guards against a pipelined request that stays pending after its connection was closed', async () => {
    listener.drain();
    const answerNow = reply;
    reply = (message) => {
      setTimeout(() => answerNow(message), ANSWER_AFTER_MS * arrived.length);
    };
    const text = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc';
    const answer = await sendRaw(`${text}${text}`);
    expect(answer.match(/HTTP\/1.1 200/g)).to.have.length(1);
    await waitFor('requesterGone', () => gone.length === 1);
    expect([arrived.length, listener.pending]).to.deep.equal([2, 0]);
  });

  it('guards against accepting more connections than the settings allow', async () => {
    const sockets = Array.from({ length: 6 }, () => connect(port, '127.0.0.1'));
    let closed = 0;
    sockets.forEach((socket) => {
      socket.on('error', () => undefined);
      socket.on('close', () => {
        closed += 1;
      });
    });
    await waitFor('the connections beyond the limit', () => closed === 3);
    sockets.forEach((socket) => socket.destroy());
  });

  it('guards against a client that disconnects without a message to the decision engine', async () => {
    reply = ({ request: { requestId } }) => store.release(requestId);
    const stop = new AbortController();
    const answer = request(origin, { method: 'POST', body: 'x', signal: stop.signal });
    await waitFor('the request', () => arrived.length === 1);
    stop.abort();
    await answer.catch(() => undefined);
    await waitFor('requesterGone', () => gone.length === 1);
    expect(gone).to.deep.equal(['r0']);
    const late = listener.refuse('r0', coreRequest.createRefusal('leaving'), []);
    expect(late).to.equal(false);
  });

  it('guards against a refusal without its status, headers or body', async () => {
    reply = ({ request: { requestId } }) => {
      store.release(requestId);
      const refusal = coreRequest.createRefusal('ticketRequired', { detail: 'tanagerpond-ticket' });
      listener.refuse(requestId, refusal, [['tanagerpond-ticket', 't']]);
    };
    const answer = await request(origin);
    expect(answer.statusCode).to.equal(428);
    expect(answer.headers).to.include({
      'tanagerpond-outcome': 'not-run',
      'tanagerpond-reason': 'ticketRequired',
      'tanagerpond-ticket': 't',
    });
    expect(answer.headers).to.not.have.property('retry-after');
    expect(await answer.body.json()).to.deep.equal({
      reason: 'ticketRequired',
      outcome: 'not-run',
      detail: 'tanagerpond-ticket',
    });
  });

  it('guards against an invalid answer header that leaves the request without an answer', async () => {
    reply = ({ request: { requestId } }) => {
      const body = store.takeReference('') ?? expect.fail();
      listener.answer(
        requestId,
        { status: 200, headers: [['x', 'a\nb']], closeDelimited: false },
        body,
      );
    };
    const answer = await request(origin);
    expect(answer.statusCode).to.equal(502);
    expect(answer.headers).to.include({ 'tanagerpond-outcome': 'unknown' });
    expect(await answer.body.json()).to.include({ reason: 'backendFailed' });
  });

  describe('closed while an answer is being written', () => {
    let socket: Socket;
    let received: number;
    let ended: boolean;
    let closed: Promise<unknown>;

    async function startAnswer(closeDelimited: boolean, version = '1.1'): Promise<void> {
      const budget = new BodyStore(ANSWER_BYTES);
      const reservation = budget.tryReserve(ANSWER_BYTES) ?? expect.fail();
      budget.add('large', Buffer.alloc(ANSWER_BYTES, 'x'), reservation);
      reply = ({ request: { requestId } }) => {
        const body = budget.takeReference('large') ?? expect.fail();
        listener.answer(requestId, { status: 200, headers: [], closeDelimited }, body);
      };
      [received, ended] = [0, false];
      socket = connect(port, '127.0.0.1');
      socket.on('data', (bytes: Buffer) => {
        received += bytes.length;
      });
      socket.on('end', () => {
        // Node.js emits `end` for a reset that arrives with the last bytes, but the remote address is gone then.
        ended = socket.remoteAddress !== undefined;
      });
      socket.pause();
      socket.on('error', () => undefined);
      closed = new Promise((resolve) => {
        socket.once('close', resolve);
      });
      socket.write(`GET / HTTP/${version}\r\nhost: a\r\n\r\n`);
      await waitFor('the request', () => arrived.length === 1);
    }

    it('guards against a large answer without a length that looks complete when a kill cuts it off', async () => {
      let head = '';
      await startAnswer(true);
      socket.once('data', (bytes: Buffer) => {
        head = bytes.toString('latin1', 0, 512);
      });
      socket.resume();
      await closed;
      expect(head).to.match(/^HTTP\/1.1 200 .*\r\ntransfer-encoding: chunked\r\n/is);
      expect(head).to.not.match(/content-length/i);
      expect(ended).to.equal(true);
    });

    it('guards against chunks that a client of HTTP/1.0 cannot read', async () => {
      let head = '';
      await startAnswer(true, '1.0');
      socket.once('data', (bytes: Buffer) => {
        head = bytes.toString('latin1', 0, 512);
      });
      socket.resume();
      await closed;
      expect(head).to.not.match(/transfer-encoding|content-length/i);
      expect(received).to.be.above(ANSWER_BYTES);
    });

    it('guards against a truncated close-delimited answer that looks complete', async () => {
      await startAnswer(true);
      await listener[Symbol.asyncDispose]();
      socket.resume();
      await closed;
      expect(received).to.be.below(ANSWER_BYTES);
      expect(ended).to.equal(false);
    });

    [true, false].forEach((closeDelimited) => {
      it(`guards against truncating an answer that the client is still reading (closeDelimited ${closeDelimited})`, async () => {
        await startAnswer(closeDelimited);
        const disposed = listener[Symbol.asyncDispose]();
        setTimeout(() => socket.resume(), READ_AFTER_MS);
        await Promise.all([disposed, closed]);
        expect(received).to.be.above(ANSWER_BYTES);
        expect(ended).to.equal(true);
      });
    });
  });

  it('guards against forwarding the call token of a backend server as a header', async () => {
    await listener[Symbol.asyncDispose]();
    await start('egress');
    const headers = { 'tanagerpond-call': 'token', 'x-b': '2' };
    await (await request(origin, { headers })).body.dump();
    const [message] = arrived;
    expect(message.kind === 'egressRequest' && message.callToken).to.equal('token');
    expect(message.request.headers).to.deep.include(['x-b', '2']);
    expect(JSON.stringify(message.request)).to.not.include('token');
  });

  it('guards against a caller that bypasses the ticket by sending an attempt id', () => {
    const headers = [
      ['host', 'a'],
      ['tanagerpond-attempt', 'again'],
    ] as const;
    expect(NATIVE_EDGE_ADAPTER.readRequest(headers)).to.deep.equal([['host', 'a']]);
  });
});
