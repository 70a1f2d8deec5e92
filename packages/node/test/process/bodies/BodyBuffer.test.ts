import { expect } from 'chai';
import * as fc from 'fast-check';
import { BodyBuffer } from '../../../src/process/bodies/index.js';

/** Number of chunks of one byte, and heap growth that the test tolerates beyond 16 bytes for each, in bytes. */
const PIECES = 500_000;
const HEAP_BYTES = 8_000_000;

describe('BodyBuffer', () => {
  it('guards against lost, duplicated or reordered bytes', () => {
    fc.assert(
      fc.property(fc.array(fc.uint8Array({ maxLength: 3_000 })), (pieces) => {
        const body = new BodyBuffer();
        pieces.forEach((piece) => body.append(Buffer.from(piece)));
        const whole = Buffer.concat(pieces);
        expect(body.size).to.equal(whole.length);
        expect(body.toBuffer().equals(whole)).to.equal(true);
      }),
    );
  });

  it('guards against a body that changes when an appended buffer is reused', () => {
    const body = new BodyBuffer();
    const piece = Buffer.from('one');
    body.append(piece);
    piece.fill('x');
    expect(body.toBuffer().toString()).to.equal('one');
  });

  it('guards against small chunks that take many times their size in memory', () => {
    const received = Buffer.alloc(PIECES, 'x');
    const body = new BodyBuffer();
    const before = process.memoryUsage();
    for (let at = 0; at < PIECES; at++) {
      body.append(received.subarray(at, at + 1));
    }
    const after = process.memoryUsage();
    const grown = after.heapUsed + after.arrayBuffers - before.heapUsed - before.arrayBuffers;
    expect(grown).to.be.below(PIECES * 16 + HEAP_BYTES);
    expect(body.size).to.equal(PIECES);
  });
});
