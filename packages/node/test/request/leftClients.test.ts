import { randomUUID } from 'node:crypto';
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { expect } from 'chai';
import { NATIVE_EDGE_ADAPTER } from '../../src/ports/index.js';
import { BodyStore } from '../../src/process/bodies/index.js';
import { Counters, LatencyHistogram } from '../../src/process/metrics/index.js';
import { WorkQueue } from '../../src/process/scheduling/index.js';
import { RequestListener } from '../../src/request/index.js';
import { waitFor } from '../support/waitFor.js';

const CLIENTS = 300;

/** Every third client stays, so that the other 200 leave. */
const STAYS_EVERY = 3;

/** Processor time of passing on one request, in milliseconds. */
const DECISION_MS = 2;

/** Time for which the process does not read its sockets, in milliseconds. */
const LATE_MS = 300;

const BODY_BUDGET_BYTES = 1024 * 1024;

describe('requests of clients that leave while the process is late', () => {
  let listener: RequestListener;
  let clients: readonly Socket[];
  let passedOn: string[];

  beforeEach(async () => {
    passedOn = [];
    listener = createListener((target) => {
      passedOn.push(target);
      block(DECISION_MS);
    });
    const port = await listener.listen('127.0.0.1', 0);
    clients = Array.from({ length: CLIENTS }, () => connect(port, '127.0.0.1'));
    await Promise.all(clients.map((client) => once(client, 'connect')));
  });

  afterEach(async () => {
    clients.forEach((client) => client.destroy());
    await listener[Symbol.asyncDispose]();
  });

  it('guards against passing on requests whose clients left before the process could read them', async () => {
    clients.forEach((client, index) =>
      client.write(`GET /${index} HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n`),
    );
    clients.filter((_client, index) => !stays(index)).forEach((client) => client.destroy());
    block(LATE_MS);
    const staying = clients.map((_client, index) => index).filter(stays);
    await waitFor('the requests of the clients that stay', () =>
      staying.every((index) => passedOn.includes(`/${index}`)),
    );
    const left = passedOn.filter((target) => !stays(Number(target.slice(1))));
    expect(left).to.deep.equal([]);
  });
});

function stays(index: number): boolean {
  return index % STAYS_EVERY === 0;
}

/** Occupies the process, as decisions of a process with little processor time do. */
function block(durationMs: number): void {
  const untilMs = performance.now() + durationMs;
  while (performance.now() < untilMs);
}

function createListener(passOn: (target: string) => void): RequestListener {
  const work = new WorkQueue({ now: () => performance.now(), log: { write: () => undefined } });
  return new RequestListener({
    adapter: NATIVE_EDGE_ADAPTER,
    part: 'caller',
    limits: {
      maxBody: BODY_BUDGET_BYTES,
      headerBytes: 4096,
      headerLimitMs: 10_000,
      requestLimitMs: 10_000,
      connections: CLIENTS,
      keepAliveMs: 30_000,
    },
    store: new BodyStore(BODY_BUDGET_BYTES),
    counters: new Counters(),
    latency: new LatencyHistogram(),
    now: () => performance.now(),
    addWork: (task) => work.add(task),
    buildRequestId: () => randomUUID(),
    publish: (message) => {
      if (message.kind === 'callerRequest') {
        passOn(message.request.target);
      }
    },
  });
}
