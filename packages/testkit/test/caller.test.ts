import * as http from 'node:http';
import * as crypto from 'node:crypto';
import { expect } from 'chai';
import { caller } from '../src/index.js';
import * as connection from '../src/connection/index.js';

type Handler = (request: http.IncomingMessage, body: Buffer) => [number, object, object];

async function runAgainst(handle: Handler, repeatable = true): Promise<caller.CallerLoad> {
  const server = http.createServer((request, response) => {
    void connection.collectBody(request).then((body) => {
      const [status, headers, value] = handle(request, body);
      connection.answerJson(response, status, value, headers as Record<string, string>);
    });
  });
  const entry = await connection.openLoopback(server);
  const route = { name: 'deep.take', method: 'POST', target: '/deep/items/:id', repeatable };
  await using load = new caller.CallerLoad(
    caller.callerOptionsSchema.parse({
      name: 'load',
      seed: 3,
      workspace: 'north',
      entries: [entry],
      routes: [route],
      ratePerSecond: 100,
      durationMs: 100,
      retryDelayMs: 1,
    }),
  );
  await load.run();
  await connection.closeServer(server);
  expect(load.sent).to.be.greaterThan(0);
  return load;
}

function buildAnswer(request: http.IncomingMessage, body: Buffer): object {
  const bodyDigest = crypto.createHash('sha256').update(body).digest('hex');
  return { requestId: request.headers['x-request-id'], bodyDigest };
}

function listEnds(load: caller.CallerLoad): string[] {
  return [...new Set(load.records.map((record) => record.end))];
}

describe('CallerLoad', () => {
  it('guards against an answer to another request, or with the digest of half a body, that counts as whole', async () => {
    const otherRequest = await runAgainst((request, body) => [
      200,
      {},
      { ...buildAnswer(request, body), requestId: 'other' },
    ]);
    const half = await runAgainst((request, body) => [
      200,
      {},
      buildAnswer(request, body.subarray(0, 9)),
    ]);
    expect([...listEnds(otherRequest), ...listEnds(half)]).to.deep.equal(['wrong', 'wrong']);
  });

  it('guards against a non-repeatable request that is retried without its ticket', async () => {
    const sentWith: unknown[] = [];
    const load = await runAgainst((request, body) => {
      const ticket = request.headers['tanagerpond-ticket'];
      sentWith.push(ticket);
      if (ticket === undefined) {
        const headers = { 'tanagerpond-outcome': 'not-run', 'tanagerpond-ticket': 'first' };
        return [428, headers, {}];
      }
      const isRepeat = String(request.headers['x-attempt-id']).endsWith('.3');
      return isRepeat
        ? [200, { 'tanagerpond-outcome': 'complete' }, buildAnswer(request, body)]
        : [502, { 'tanagerpond-outcome': 'unknown' }, {}];
    }, false);
    expect(listEnds(load)).to.deep.equal(['whole']);
    expect(sentWith.filter((ticket) => ticket === undefined)).to.have.length(load.sent);
    expect(load.records.every((record) => record.attempts === 3)).to.equal(true);
  });

  it('guards against a failure that is not retried on a repeatable route or is retried on a non-repeatable one', async () => {
    const fail: Handler = () => [502, { 'tanagerpond-outcome': 'complete' }, { failure: 'deep' }];
    const repeatable = await runAgainst(fail);
    const booking = await runAgainst(fail, false);
    expect(listEnds(repeatable)).to.deep.equal(['failed']);
    expect(repeatable.records.every((record) => record.attempts === 3)).to.equal(true);
    expect(booking.records.every((record) => record.attempts === 1)).to.equal(true);
    expect(booking.records.every((record) => record.detail === 'deep')).to.equal(true);
  });

  it('guards against a request that counts as not run although an earlier attempt is unknown', async () => {
    const load = await runAgainst((request) => {
      const isFirst = String(request.headers['x-attempt-id']).endsWith('.1');
      return [502, { 'tanagerpond-outcome': isFirst ? 'unknown' : 'not-run' }, {}];
    });
    expect(listEnds(load)).to.deep.equal(['unknown']);
    expect(load.records.every((record) => record.notRunAttempts.length === 2)).to.equal(true);
  });
});
