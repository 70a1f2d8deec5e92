import { expect } from 'chai';
import * as fc from 'fast-check';
import { BodyBuffer } from '../../../src/process/bodies/index.js';

/** Pieces of one byte that are collected, and the heap that they may take, in bytes. */
const PIECES = 500_000;
const HEAP_BYTES = 8_000_000;

describe('the collected bytes of a body', () => {
  it('guards against bytes that are lost, doubled or out of order', () => {
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

  it('guards against pieces that change the body after they were added', () => {
    const body = new BodyBuffer();
    const piece = Buffer.from('one');
    body.append(piece);
    piece.fill('x');
    expect(body.toBuffer().toString()).to.equal('one');
  });

  it('guards against small pieces that take many times their size of memory', () => {
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
