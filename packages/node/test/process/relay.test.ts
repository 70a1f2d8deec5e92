import { randomBytes } from 'node:crypto';
import { expect } from 'chai';
import { fetch } from 'undici';
import { RelayPair } from '../support/RelayPair.js';
import { waitFor } from '../support/waitFor.js';

const MEBIBYTE = 1024 * 1024;

/** Delay of an answer in milliseconds, longer than the close of a listener waits. */
const ANSWER_AFTER_MS = 1_500;

describe('call through two nodes', () => {
  let pair: RelayPair;

  before(async () => {
    pair = await RelayPair.start(
      (incoming, outgoing, body) => {
        if (incoming.url === '/break') {
          outgoing.writeHead(200, { 'content-length': 10 });
          outgoing.write('half');
          setTimeout(() => outgoing.destroy(), 20);
        } else {
          outgoing.writeHead(201, { 'x-method': incoming.method ?? '' });
          outgoing.end(body);
        }
      },
      `[bodies]\nbudget = ${400 * MEBIBYTE}`,
    );
  });

  after(() => pair[Symbol.asyncDispose]());

  function call(path: string, body: Buffer): ReturnType<typeof fetch> {
    return fetch(`http://${pair.a.addresses.caller}${path}`, {
      method: 'POST',
      headers: { 'to-vm': 'b' },
      body: new Uint8Array(body),
    });
  }

  it('guards against a body that is truncated, mixed up or not released after the call', async () => {
    const bodies = [0, 1, 16_384, 16_385, 300_000, 5 * MEBIBYTE].map((size) => randomBytes(size));
    const answers = await Promise.all(bodies.map((body) => call('/echo', body)));
    const echoed = await Promise.all(answers.map(async (answer) => answer.arrayBuffer()));
    expect(answers.map(({ status }) => status)).to.deep.equal(bodies.map(() => 201));
    echoed.forEach((echo, index) => expect(Buffer.from(echo).equals(bodies[index])).to.equal(true));
    expect(answers[0].headers.get('tanagerpond-outcome')).to.equal('complete');
    expect(answers[0].headers.get('x-method')).to.equal('POST');
    const a = await pair.readState('a');
    const b = await pair.readState('b');
    expect([a.bodies.used, a.bodies.count, b.bodies.used, b.bodies.count]).to.deep.equal([
      0, 0, 0, 0,
    ]);
    expect(a.bodies.peak).to.be.greaterThan(5 * MEBIBYTE);
  });

  it('guards against a planned stop that cuts off a request which was just accepted', async () => {
    await using stopped = await RelayPair.start((_incoming, outgoing, body) => {
      stopped.a.host.drain();
      setTimeout(() => outgoing.writeHead(201).end(body), ANSWER_AFTER_MS);
    });
    const answer = fetch(`http://${stopped.a.addresses.caller}/slow`, {
      headers: { 'to-vm': 'b' },
    });
    await stopped.a.host.waitDrained();
    await stopped.a.host[Symbol.asyncDispose]();
    expect((await answer).status).to.equal(201);
  });

  it('guards against forwarding a truncated answer as complete', async () => {
    const answer = await call('/break', Buffer.from('x'));
    expect(answer.status).to.equal(502);
    expect(answer.headers.get('tanagerpond-outcome')).to.equal('unknown');
    expect(answer.headers.get('retry-after')).to.equal('2');
    expect(answer.headers.get('tanagerpond-retry-after-ms')).to.equal('1001');
    expect(await answer.json()).to.deep.equal({
      reason: 'backendFailed',
      outcome: 'unknown',
      retryAfterMs: 1001,
    });
  });

  it('guards against head-of-line blocking of a small call by large bodies', async () => {
    pair.a.decisions.messages.length = 0;
    const large = Array.from({ length: 6 }, () => call('/echo', randomBytes(8 * MEBIBYTE)));
    await waitFor('the large bodies', () => pair.a.decisions.find('callerRequest').length >= 6);
    const small = await call('/echo', Buffer.from('small'));
    const first = await Promise.race([
      ...large.map((answer) => answer.then(() => 'large')),
      small.text().then(() => 'small'),
    ]);
    expect(first).to.equal('small');
    const echoed = await Promise.all(large.map(async (answer) => (await answer).arrayBuffer()));
    expect(echoed.map(({ byteLength }) => byteLength)).to.deep.equal(
      Array.from({ length: 6 }, () => 8 * MEBIBYTE),
    );
  });

  it('guards against calls to an unknown peer that wait forever', async () => {
    const { caller } = pair.a.addresses;
    const stop = new AbortController();
    const gone = fetch(`http://${caller}/echo`, { headers: { 'to-vm': 'x' }, signal: stop.signal });
    await waitFor('linkFailed', () => pair.a.decisions.find('linkFailed').length > 0);
    expect(pair.a.decisions.find('linkFailed')[0].peer).to.equal('x');
    stop.abort();
    await gone.catch(() => undefined);
    await waitFor('requesterGone', () => pair.a.decisions.find('requesterGone').length > 0);
  });
});
