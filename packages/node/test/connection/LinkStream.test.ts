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

  beforeEach(() => {
    nowMs = 0;
    written = [];
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
      onFrame: () => undefined,
      onClose: () => undefined,
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
});
