import type { ServerResponse } from 'node:http';
import { Writable } from 'node:stream';
import type { node } from '@tanagerpond/core';
import { expect } from 'chai';
import { createLogger } from '../../../src/index.js';
import { Counters } from '../../../src/process/metrics/index.js';
import { PlatformReader } from '../../../src/process/platform/index.js';
import { StubServer } from '../../support/StubServer.js';
import { waitFor } from '../../support/waitFor.js';

const VM = { name: 'a', service: 's', failureDomain: 'd', peerAddress: '1.2.3.4:5', state: 'live' };

describe('PlatformReader', () => {
  let urls: string[];
  let lines: string[];
  let messages: node.NodeMessage[];
  let server: StubServer;
  let reader: PlatformReader;
  let handle: (url: string, outgoing: ServerResponse) => void;

  beforeEach(async () => {
    urls = [];
    lines = [];
    messages = [];
    handle = (_url, outgoing) => outgoing.writeHead(503).end();
    server = new StubServer((incoming, outgoing) => {
      urls.push(incoming.url ?? '');
      handle(incoming.url ?? '', outgoing);
    });
    reader = new PlatformReader({
      address: await server.listen(),
      waitMs: 200,
      publish: (message) => messages.push(message),
      counters: new Counters(),
      now: () => performance.now(),
      log: createLogger({
        level: 'info',
        stream: new Writable({
          write: (chunk: Buffer, _encoding, done) => {
            lines.push(chunk.toString());
            done();
          },
        }),
        now: () => performance.now(),
      }),
    });
  });

  afterEach(async () => {
    await reader[Symbol.asyncDispose]();
    await server[Symbol.asyncDispose]();
  });

  function listEnvelopes(): readonly string[] {
    return messages.flatMap((message) =>
      message.kind === 'envelopeRead' ? [message.envelope] : [],
    );
  }

  it('guards against a new bundle that the watch does not publish or publishes twice', async () => {
    let index = 7;
    handle = (url, outgoing) => {
      const after = Number(new URL(url, 'http://p').searchParams.get('after') ?? 0);
      if (after < index) {
        outgoing.setHeader('platform-index', index);
        outgoing.end(`bundle ${index}`);
      } else {
        outgoing.writeHead(304).end();
        index = 8;
      }
    };
    reader.setWatch(true);
    reader.setWatch(true);
    await waitFor('the second bundle', () => listEnvelopes().length === 2);
    reader.setWatch(false);
    expect(listEnvelopes()).to.deep.equal(['bundle 7', 'bundle 8']);
    expect(urls.slice(0, 3)).to.deep.equal([
      '/configuration/bundle',
      '/configuration/bundle?after=7&waitMs=200',
      '/configuration/bundle?after=7&waitMs=200',
    ]);
  });

  it('guards against a watch that continues after it was stopped or retries without a pause', async () => {
    reader.setWatch(true);
    await waitFor('the failure', () => messages.some(({ kind }) => kind === 'serviceUnavailable'));
    await new Promise((resolve) => {
      setTimeout(resolve, 300);
    });
    expect(urls.length).to.equal(1);
    reader.setWatch(false);
    handle = (_url, outgoing) => outgoing.setHeader('platform-index', 1).end('late');
    await new Promise((resolve) => {
      setTimeout(resolve, 1_000);
    });
    expect([urls.length, listEnvelopes()]).to.deep.equal([1, []]);
  });

  it('guards against a read of the bundle that publishes no message', async () => {
    reader.readConfiguration();
    reader.readConfiguration();
    await waitFor('the failure', () => messages.length === 1);
    handle = (_url, outgoing) => outgoing.end('no index');
    reader.readConfiguration();
    await waitFor('the missing index', () => messages.length === 2);
    handle = (_url, outgoing) => outgoing.setHeader('platform-index', 1).end('bundle');
    reader.readConfiguration();
    await waitFor('the bundle', () => messages.length === 3);
    expect(messages).to.deep.equal([
      { kind: 'serviceUnavailable' },
      { kind: 'serviceUnavailable' },
      { kind: 'envelopeRead', envelope: 'bundle' },
    ]);
    expect(urls.length).to.equal(3);
  });

  it('guards against a VM list that counts as outdated although every read confirms it', async () => {
    handle = (url, outgoing) => {
      if (url.startsWith('/vms?after=7')) {
        outgoing.writeHead(304).end();
        return;
      }
      outgoing.setHeader('platform-index', 7);
      outgoing.end(JSON.stringify({ vms: [VM] }));
    };
    reader.start();
    await waitFor('the confirmation', () => messages.length >= 2);
    expect(messages.slice(0, 2)).to.deep.equal([
      { kind: 'vmsListed', vms: [VM] },
      { kind: 'listConfirmed' },
    ]);
  });

  it('guards against a truncated bundle without a length that keeps the complete one from being read', async () => {
    let isCut = true;
    handle = (url, outgoing) => {
      if (isCut) {
        isCut = false;
        outgoing.socket?.end('HTTP/1.1 200 OK\r\nplatform-index: 7\r\n\r\nbund');
      } else if (url.includes('after=7')) {
        outgoing.writeHead(304).end();
      } else {
        outgoing.setHeader('platform-index', 7).end('bundle 7');
      }
    };
    reader.setWatch(true);
    await waitFor('the whole bundle', () => listEnvelopes().includes('bundle 7'));
    expect(listEnvelopes()).to.deep.equal(['bundle 7']);
  });

  it('guards against a malformed VM list that replaces a valid one, and against repeated log lines', async () => {
    const lists = [
      { index: 1, vms: [VM] },
      { index: 2, vms: [{ ...VM, state: 'odd' }] },
      { index: 3, vms: [] },
    ];
    handle = (_url, outgoing) =>
      outgoing.end(JSON.stringify(lists.shift() ?? { index: 4, vms: [] }));
    reader.start();
    await waitFor('the third list', () => messages.length >= 2);
    expect(messages.slice(0, 2)).to.deep.equal([
      { kind: 'vmsListed', vms: [VM] },
      { kind: 'vmsListed', vms: [] },
    ]);
    const parsed = lines.map((line) => JSON.parse(line) as Readonly<Record<string, unknown>>);
    expect(parsed[0]).to.include({
      level: 'warn',
      message: 'membership: platform read failed',
      fault: 'malformed',
      awayMs: 0,
      index: 1,
    });
    expect(parsed[0].lastAnswerAgeMs).to.be.within(0, 8_000);
    expect(parsed[1]).to.include({ message: 'membership: platform is reachable again', index: 1 });
    expect(parsed[1].awayMs).to.be.within(0, 8_000);
    expect(parsed.length).to.equal(2);
  });
});
