import { expect } from 'chai';
import type { Frame, Hello } from '@tanagerpond/wire';
import { buildFrame } from '../../src/connection/index.js';
import type { LinkEndReason } from '../../src/connection/LinkStream.js';
import { PeerLink } from '../../src/connection/PeerLink.js';
import { BodyStore } from '../../src/process/bodies/index.js';
import { Counters } from '../../src/process/metrics/index.js';
import { MemoryStream } from '../support/MemoryStream.js';

interface Side {
  readonly link: PeerLink;
  readonly frames: Frame[];
  readonly ends: [LinkEndReason, boolean][];
}

/** Waits until everything written so far has arrived. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 6; turn++) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

describe('PeerLink', () => {
  let nowMs = 0;

  beforeEach(() => {
    nowMs = 0;
  });

  function createSide(stream: MemoryStream, opener: boolean, accepted = true): Side {
    const frames: Frame[] = [];
    const ends: [LinkEndReason, boolean][] = [];
    const link = new PeerLink({
      transport: { stream, abort: () => stream.abort() },
      opener,
      buildHello: () => buildFrame({ case: 'hello', value: { vm: opener ? 'a' : 'b' } }),
      helloLimitMs: 1_000,
      idleMs: 60_000,
      maxBody: 1024,
      store: new BodyStore(1024),
      counters: new Counters(),
      now: () => nowMs,
      addWork: (task) => task(0),
      checkHello: () => accepted,
      onUp: () => undefined,
      onFrame: (_hello: Hello, frame) => frames.push(frame),
      onEnd: (end, hello) => ends.push([end, hello !== undefined]),
    });
    return { link, frames, ends };
  }

  function advanceOnce(sides: readonly Side[]): void {
    sides.forEach(({ link }) => link.advance(nowMs));
  }

  /** Advances both sides in steps of half a second. */
  async function advance(sides: readonly Side[], durationMs: number): Promise<void> {
    const endMs = nowMs + durationMs;
    while (nowMs < endMs) {
      nowMs += 500;
      advanceOnce(sides);
      await settle();
    }
  }

  it('guards against keeping a connection whose peer has become silent', async () => {
    const [left, right] = MemoryStream.createPair();
    const a = createSide(left, true);
    const b = createSide(right, false);
    await settle();
    a.link.send(buildFrame({ case: 'openCall', value: { callId: 'c' } }));
    await advance([a, b], 10_000);
    expect([a.ends, b.ends, b.frames.length]).to.deep.equal([[], [], 1]);
    b.link.send(buildFrame({ case: 'answer', value: { callId: 'c' } }));
    await settle();
    left.silent = true;
    right.silent = true;
    await advance([a, b], 3_500);
    expect(a.ends).to.deep.equal([['silent', true]]);
    expect(b.ends).to.deep.equal([['silent', true]]);
  });

  it('guards against a call that waits 3 s on a connection whose peer has become silent', async () => {
    const [left, right] = MemoryStream.createPair();
    const a = createSide(left, true);
    const b = createSide(right, false);
    await settle();
    a.link.send(buildFrame({ case: 'openCall', value: { callId: 'c' } }));
    await advance([a, b], 10_000);
    left.silent = true;
    right.silent = true;
    await advance([a, b], 2_000);
    expect(a.ends).to.deep.equal([['silent', true]]);
  });

  it('guards against a process that mistakes its own pause for silence of its peers', async () => {
    const [left, right] = MemoryStream.createPair();
    const a = createSide(left, true);
    const b = createSide(right, false);
    await settle();
    nowMs = 20_000;
    a.link.advance(nowMs);
    b.link.advance(nowMs);
    await advance([a, b], 5_000);
    expect([a.ends, b.ends]).to.deep.equal([[], []]);
  });

  it('guards against sending a frame before the hello and reporting it as not sent', async () => {
    const [left, right] = MemoryStream.createPair();
    const a = createSide(left, true);
    const arrived: Buffer[] = [];
    right.on('data', (bytes: Buffer) => arrived.push(bytes));
    a.link.send(buildFrame({ case: 'openCall', value: { callId: 'c' } }));
    await advance([a], 1_000);
    expect(arrived.length).to.equal(1);
    expect(a.ends).to.deep.equal([['helloTimeout', false]]);
  });

  it('guards against a link with an unknown peer, or without a hello as its first frame', async () => {
    const [left, right] = MemoryStream.createPair();
    const refusing = createSide(right, false, false);
    createSide(left, true);
    const [raw, accepting] = MemoryStream.createPair();
    const impolite = createSide(accepting, false);
    raw.write(Buffer.from([0x0a, 0x02, 0x3a, 0x00]));
    raw.write(Buffer.from([0x0a, 0x02, 0x12, 0x00]));
    await settle();
    expect(refusing.ends).to.deep.equal([['protocol', false]]);
    expect(impolite.ends).to.deep.equal([['protocol', false]]);
  });

  it('guards against idle links that stay open and busy links that are closed as idle', async () => {
    const [left, right] = MemoryStream.createPair();
    const a = createSide(left, true);
    const b = createSide(right, false);
    await settle();
    a.link.send(buildFrame({ case: 'openCall', value: { callId: 'c' } }));
    await settle();
    await advance([a, b], 70_000);
    expect(a.ends).to.deep.equal([]);
    b.link.send(buildFrame({ case: 'answer', value: { callId: 'c' } }));
    await advance([a, b], 61_000);
    expect(a.ends).to.deep.equal([['idle', true]]);
    expect(b.ends).to.deep.equal([['ended', true]]);
  });
});
