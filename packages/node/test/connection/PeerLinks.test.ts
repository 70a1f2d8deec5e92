import type { node } from '@tanagerpond/core';
import { decodeBatch, encodeFrame, joinFrames, type Frame } from '@tanagerpond/wire';
import { expect } from 'chai';
import { buildFrame, PeerLinks } from '../../src/connection/index.js';
import { BodyStore } from '../../src/process/bodies/index.js';
import type { LogFields } from '../../src/process/log/index.js';
import { Counters } from '../../src/process/metrics/index.js';
import { MemoryStream } from '../support/MemoryStream.js';

const FIRST = '1'.repeat(32);

/** Size of an answer that exceeds the flow-control window of a body, in bytes. */
const ANSWER_BYTES = 1024 * 1024;

/** Time after which a link that could not be opened is opened again, in milliseconds, with a margin. */
const RETRY_PAUSE_MS = 250;

/** Frames that wait for a link to come up before it is given up. */
const MAX_QUEUED = 4096;

const SECOND = '2'.repeat(32);

describe('PeerLinks', () => {
  let links: PeerLinks;
  let messages: node.NodeMessage[];
  let counters: Counters;
  let opened: [address: string, peerEnd: MemoryStream][];
  let skipMs: number;
  let lines: [text: string, fields: LogFields][];

  beforeEach(() => {
    messages = [];
    opened = [];
    skipMs = 0;
    lines = [];
    counters = new Counters();
    links = new PeerLinks({
      buildHello: () => buildFrame({ case: 'hello', value: { vm: 'self', incarnation: FIRST } }),
      connect: (_peer, address) => {
        const [own, other] = MemoryStream.createPair();
        opened.push([address, other]);
        return { stream: own, abort: () => own.abort() };
      },
      publish: (message) => messages.push(message),
      store: new BodyStore(1024),
      maxBody: 1024,
      counters,
      log: {
        write: (_level, _part, text, fields) => {
          lines.push([text, typeof fields === 'function' ? fields() : (fields ?? {})]);
        },
      },
      now: () => performance.now() + skipMs,
      addWork: (task) => task(0),
    });
  });

  afterEach(() => links[Symbol.asyncDispose]());

  function listAddress(peerAddress: string): void {
    const vm = { name: 'peer', service: 's', failureDomain: 'd', state: 'live' } as const;
    links.replaceAddresses([{ ...vm, peerAddress }]);
  }

  /** Opens a stream to this process, as a peer does. */
  function openInbound(incarnation: string, vm = 'peer'): MemoryStream {
    const [own, other] = MemoryStream.createPair();
    links.accept({ stream: own, certificateNames: undefined, abort: () => own.abort() });
    sendHello(other, incarnation, vm);
    return own;
  }

  function sendHello(stream: MemoryStream, incarnation: string, vm = 'peer'): void {
    const hello = buildFrame({ case: 'hello', value: { vm, incarnation } });
    stream.write(joinFrames([encodeFrame(hello)]));
  }

  /** Counts the body bytes that arrive at a peer, which returns window updates of the same size. */
  function countBodyBytes(peerEnd: MemoryStream): () => number {
    let received = 0;
    const take = ({ body }: Frame): void => {
      if (body.case === 'bodyChunk') {
        const { callId, data } = body.value;
        received += data.length;
        const update = buildFrame({
          case: 'windowUpdate',
          value: { callId, bytes: data.length },
        });
        peerEnd.write(joinFrames([encodeFrame(update)]));
      }
    };
    peerEnd.on('data', (bytes: Buffer) => decodeBatch(bytes).unwrapOr([]).forEach(take));
    return () => received;
  }

  async function settle(): Promise<void> {
    for (let turn = 0; turn < 6; turn++) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  it('guards against replying on the dead first stream of a peer that has opened a second one', async () => {
    const first = openInbound(FIRST);
    await settle();
    openInbound(SECOND);
    await settle();
    expect(first.aborted).to.equal(true);
    expect(messages).to.deep.equal([
      { kind: 'linkUp', peer: 'peer', incarnation: FIRST, inbound: true },
      { kind: 'linkDown', peer: 'peer', incarnation: FIRST, inbound: true },
      { kind: 'linkUp', peer: 'peer', incarnation: SECOND, inbound: true },
    ]);
  });

  it('guards against accepting a malformed VM name or incarnation', async () => {
    openInbound('short');
    openInbound(FIRST, '');
    await settle();
    expect(messages).to.deep.equal([]);
  });

  it('guards against keeping a link to an address that the VM no longer has', async () => {
    listAddress('10.0.0.1:1');
    links.sendRequest('peer', buildFrame({ case: 'crashReport', value: {} }));
    sendHello(opened[0][1], FIRST);
    await settle();
    listAddress('10.0.0.2:1');
    await settle();
    expect(messages.map(({ kind }) => kind)).to.deep.equal(['linkUp', 'linkDown']);
    links.sendRequest('peer', buildFrame({ case: 'crashReport', value: {} }));
    expect(opened.map(([address]) => address)).to.deep.equal(['10.0.0.1:1', '10.0.0.2:1']);
  });

  it('guards against a link age that restarts when a dead peer is contacted again', async () => {
    listAddress('10.0.0.1:1');
    expect(links.measureLinkAge('peer')).to.equal(undefined);
    links.sendRequest('peer', buildFrame({ case: 'crashReport', value: {} }));
    expect(links.measureLinkAge('peer')).to.equal(undefined);
    sendHello(opened[0][1], FIRST);
    await settle();
    skipMs += 1_000;
    expect(links.measureLinkAge('peer')).to.be.within(1_000, 1_500);
    opened[0][1].abort();
    await settle();
    skipMs += 2_000;
    links.sendRequest('peer', buildFrame({ case: 'crashReport', value: {} }));
    expect(links.measureLinkAge('peer')).to.be.within(3_000, 3_500);
    sendHello(opened[1][1], SECOND);
    await settle();
    expect(links.measureLinkAge('peer')).to.be.within(0, 500);
  });

  it('guards against log lines about a lost link without its downtime and former incarnation', async () => {
    listAddress('10.0.0.1:1');
    links.sendRequest('peer', buildFrame({ case: 'crashReport', value: {} }));
    sendHello(opened[0][1], FIRST);
    await settle();
    skipMs += 1_000;
    opened[0][1].abort();
    await settle();
    skipMs += 2_000;
    links.sendRequest('peer', buildFrame({ case: 'crashReport', value: {} }));
    opened[1][1].abort();
    await settle();
    skipMs += 2_000;
    links.sendRequest('peer', buildFrame({ case: 'crashReport', value: {} }));
    sendHello(opened[2][1], SECOND);
    await settle();
    expect(lines.map(([text]) => text)).to.deep.equal([
      'peer link is down',
      'peer link could not be opened',
      'peer link is up again',
    ]);
    const [down, unopened, up] = lines.map(([, fields]) => fields);
    expect(down).to.include({ peer: 'peer', inbound: false, incarnation: FIRST });
    expect(down.linkAgeMs).to.be.within(1_000, 1_500);
    expect(unopened).to.include({ peer: 'peer', formerIncarnation: FIRST });
    expect(unopened.awayMs).to.be.within(2_000, 2_500);
    expect(up).to.include({ incarnation: SECOND, formerIncarnation: FIRST, inbound: false });
    expect(up.awayMs).to.be.within(4_000, 4_900);
  });

  it('guards against accepting a different VM at the address of a peer', async () => {
    listAddress('10.0.0.1:1');
    links.sendRequest('peer', buildFrame({ case: 'crashReport', value: {} }));
    sendHello(opened[0][1], FIRST, 'other');
    await settle();
    expect(messages).to.deep.equal([{ kind: 'linkFailed', peer: 'peer', callIds: [] }]);
  });

  it('guards against a call that is reported as not sent while it waits for a new link, which then sends it', async () => {
    const open = (callId: string): Frame => buildFrame({ case: 'openCall', value: { callId } });
    listAddress('10.0.0.1:1');
    links.sendRequest('peer', open('dropped'));
    opened[0][1].abort();
    await settle();
    links.sendRequest('peer', open('refused'));
    skipMs += RETRY_PAUSE_MS;
    links.sendRequest('peer', open('waiting'));
    const sent: string[] = [];
    opened[1][1].on('data', (bytes: Buffer) =>
      decodeBatch(bytes)
        .unwrapOr([])
        .forEach(({ body }) => {
          if (body.case === 'openCall') {
            sent.push(body.value.callId);
          }
        }),
    );
    await settle();
    sendHello(opened[1][1], SECOND);
    await settle();
    const failed = messages.flatMap((one) =>
      one.kind === 'linkFailed' ? (one.callIds ?? []) : [],
    );
    expect([failed, sent]).to.deep.equal([['dropped', 'refused'], ['waiting']]);
  });

  it('guards against a call that is never reported because the queue of its link is full', async () => {
    listAddress('10.0.0.1:1');
    const callIds = Array.from({ length: MAX_QUEUED + 1 }, (_none, at) => `call-${at}`);
    callIds.forEach((callId) =>
      links.sendRequest('peer', buildFrame({ case: 'openCall', value: { callId } })),
    );
    await settle();
    expect(messages).to.deep.equal([{ kind: 'linkFailed', peer: 'peer', callIds }]);
  });

  it('guards against connecting again and again to a peer that does not answer', async () => {
    listAddress('10.0.0.1:1');
    links.sendRequest('peer', buildFrame({ case: 'crashReport', value: {} }));
    opened[0][1].abort();
    await settle();
    links.sendRequest('peer', buildFrame({ case: 'crashReport', value: {} }));
    expect(messages.length).to.equal(1);
    await settle();
    expect(messages.map(({ kind }) => kind)).to.deep.equal(['linkFailed', 'linkFailed']);
    expect(opened.length).to.equal(1);
  });

  it('guards against truncating an answer to a peer when the process ends', async () => {
    const { other } = openInbound(FIRST);
    const peerEnd = other ?? expect.fail();
    const countBytes = countBodyBytes(peerEnd);
    const openCall = buildFrame({ case: 'openCall', value: { callId: 'c' } });
    peerEnd.write(joinFrames([encodeFrame(openCall)]));
    await settle();
    let released = 0;
    const body = {
      bytes: Buffer.alloc(ANSWER_BYTES),
      release: () => {
        released += 1;
      },
    };
    const value = { callId: 'c', bodySize: ANSWER_BYTES };
    links.sendReply('peer', buildFrame({ case: 'answer', value }), body);
    await links[Symbol.asyncDispose]();
    await settle();
    expect([countBytes(), released]).to.deep.equal([ANSWER_BYTES, 1]);
  });

  it('guards against a reply that opens a stream, or is dropped without releasing its body', () => {
    let released = 0;
    const body = {
      bytes: Buffer.from('x'),
      release: () => {
        released += 1;
      },
    };
    links.sendReply('peer', buildFrame({ case: 'answer', value: { callId: 'c' } }), body);
    expect([released, opened.length]).to.deep.equal([1, 0]);
    expect(counters.read()).to.deep.equal({ link_reply_without_stream: 1 });
  });
});
