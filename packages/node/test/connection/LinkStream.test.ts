import { expect } from 'chai';
import { decodeBatch, encodeFrame, joinFrames, type Frame } from '@tanagerpond/wire';
import { buildFrame } from '../../src/connection/index.js';
import { LinkStream, type FrameStream } from '../../src/connection/LinkStream.js';
import { Counters } from '../../src/process/metrics/index.js';

/** Interval of the checks of a link, in milliseconds. */
const CHECK_MS = 500;

const CALL = buildFrame({ case: 'cancelCall', value: { callId: 'c' } });

describe('LinkStream', () => {
  let nowMs: number;
  let written: Frame[];
  let receive: (frame: Frame) => void;
  let stream: LinkStream;
  let isAwaited: boolean;
  let ends: string[];

  beforeEach(() => {
    nowMs = 0;
    written = [];
    isAwaited = false;
    ends = [];
    const transport: FrameStream = {
      write: (bytes) => written.push(...decodeBatch(bytes).unwrapOr([])),
      end: () => undefined,
      on: (event: string, listener: (bytes: Buffer) => void) => {
        if (event === 'data') {
          receive = (frame) => listener(joinFrames([encodeFrame(frame)]));
        }
      },
    };
    stream = new LinkStream({
      stream: transport,
      abort: () => undefined,
      opener: true,
      now: () => nowMs,
      counters: new Counters(),
      isAwaited: () => isAwaited,
      onFrame: () => undefined,
      onClose: (end) => ends.push(end),
    });
  });

  /** Advances 5 s and returns the number of pings. */
  async function countPings(each: () => void): Promise<number> {
    for (let check = 0; check < 10; check += 1) {
      nowMs += CHECK_MS;
      each();
      stream.advance(nowMs);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    return written.filter(({ body }) => body.case === 'ping').length;
  }

  it('guards against needless pings on a link with frames in both directions', async () => {
    const pings = await countPings(() => {
      stream.write(CALL);
      receive(CALL);
    });
    expect(pings).to.equal(0);
  });

  it('guards against missing pings on an idle link or one with frames in only one direction', async () => {
    expect(await countPings(() => receive(CALL))).to.be.at.least(4);
    written = [];
    expect(await countPings(() => stream.write(CALL))).to.be.at.least(3);
  });

  it('guards against calls that wait 3 s for a link that has gone silent', async () => {
    isAwaited = true;
    stream.write(CALL);
    const startedMs = nowMs;
    while (ends.length === 0 && nowMs - startedMs < 5_000) {
      await advanceOnce();
    }
    expect([ends, nowMs - startedMs]).to.deep.equal([['silent'], 1_500]);
    expect(written.filter(({ body }) => body.case === 'ping').length).to.be.at.least(2);
  });

  it('guards against a link that is closed while its peer answers pings, or while nothing is awaited', async () => {
    isAwaited = true;
    for (let check = 0; check < 20; check += 1) {
      await advanceOnce();
      if (written.some(({ body }) => body.case === 'ping')) {
        written = [];
        receive(buildFrame({ case: 'pong', value: { sequence: 1 } }));
      }
    }
    isAwaited = false;
    await advanceOnce();
    await advanceOnce();
    await advanceOnce();
    expect(ends).to.deep.equal([]);
  });

  async function advanceOnce(): Promise<void> {
    nowMs += CHECK_MS;
    stream.advance(nowMs);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
});
