import { Writable } from 'node:stream';
import { expect } from 'chai';
import { BoundedLineStream } from '../../src/process/log/index.js';

describe('BoundedLineStream', () => {
  let nowMs: number;
  let written: string[];
  let release: (() => void) | undefined;
  let isBlocked: boolean;
  let stream: BoundedLineStream;

  beforeEach(() => {
    nowMs = 0;
    written = [];
    isBlocked = false;
    const target = new Writable({
      decodeStrings: false,
      write(chunk: string, _encoding, done) {
        written.push(String(chunk));
        if (isBlocked) {
          release = done;
          return;
        }
        done();
      },
    });
    stream = new BoundedLineStream({
      target,
      now: () => nowMs,
      linesPerSecond: 10,
      backlogBytes: 100,
    });
  });

  it('guards against lines beyond the rate limit, and against dropped lines that are not counted', () => {
    for (let line = 0; line < 50; line += 1) {
      stream.input.write(`line ${line}\n`);
    }
    expect(written).to.have.length(20);
    nowMs = 1_000;
    stream.input.write('later\n');
    expect(written.slice(20)).to.deep.equal([
      'later\n',
      '{"level":"warn","message":"log: lines were left out","lines":30}\n',
    ]);
    expect(stream.omitted).to.equal(30);
  });

  it('guards against formatting lines that are dropped', () => {
    const asked = Array.from({ length: 50 }, () => {
      const isFull = stream.dropIfFull();
      if (!isFull) {
        stream.input.write('line\n');
      }
      return isFull;
    });
    expect(asked.filter((isFull) => !isFull)).to.have.length(20);
    expect(written).to.have.length(20);
    expect(stream.omitted).to.equal(30);
  });

  it('guards against an unbounded backlog of lines when the reader does not read', () => {
    isBlocked = true;
    for (let line = 0; line < 15; line += 1) {
      stream.input.write(`${'x'.repeat(49)}\n`);
    }
    expect(stream.omitted).to.be.within(11, 13);
    isBlocked = false;
    release?.();
    stream.input.write('after\n');
    expect(written.at(-2)).to.equal('after\n');
  });
});
