import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import { expect } from 'chai';
import * as fc from 'fast-check';
import { BodyBuffer } from '../../../src/process/bodies/index.js';

/** Number of chunks of one byte, and memory that the test tolerates for each, in bytes. */
const PIECES = 500_000;
const BYTES_PER_PIECE = 16;

/** Size of a large body, in bytes, and number of such bodies that are dropped, and joined, in turn. */
const LARGE_BYTES = 16 * 1024 * 1024;
const DROPPED = 12;

describe('BodyBuffer', () => {
  it('guards against lost, duplicated or reordered bytes', () => {
    fc.assert(
      fc.property(fc.array(fc.uint8Array({ maxLength: 3_000 })), (pieces) => {
        const body = new BodyBuffer();
        pieces.forEach((piece) => body.append(Buffer.from(piece)));
        const whole = Buffer.concat(pieces);
        expect(body.size).to.equal(whole.length);
        expect(body.takeBuffer().equals(whole)).to.equal(true);
      }),
    );
  });

  it('guards against a body that changes when an appended buffer is reused', () => {
    const body = new BodyBuffer();
    const piece = Buffer.from('one');
    body.append(piece);
    piece.fill('x');
    expect(body.takeBuffer().toString()).to.equal('one');
  });

  it('guards against small chunks that take many times their size in memory', () => {
    const received = Buffer.alloc(PIECES, 'x');
    const body = new BodyBuffer();
    const before = measureMemory();
    for (let at = 0; at < PIECES; at++) {
      body.append(received.subarray(at, at + 1));
    }
    const grown = measureMemory() - before;
    expect(grown).to.be.below(PIECES * BYTES_PER_PIECE);
    expect(body.size).to.equal(PIECES);
  });

  it('guards against dropped and joined bodies whose blocks are allocated anew for the next body', () => {
    const piece = Buffer.alloc(64 * 1024, 'x');
    collect(piece).discard();
    const { allocUnsafeSlow } = Buffer;
    let allocated = 0;
    Buffer.allocUnsafeSlow = (size) => {
      allocated += 1;
      return allocUnsafeSlow(size);
    };
    try {
      for (let count = 0; count < DROPPED; count++) {
        collect(piece).discard();
        collect(piece).takeBuffer();
      }
    } finally {
      Buffer.allocUnsafeSlow = allocUnsafeSlow;
    }
    expect(allocated).to.equal(0);
  });

  it('guards against a taken body that shares memory with a later one', () => {
    const taken = collect(Buffer.alloc(64 * 1024, 'a')).takeBuffer();
    collect(Buffer.alloc(64 * 1024, 'b')).discard();
    const small = new BodyBuffer();
    small.append(Buffer.from('first'));
    const single = small.takeBuffer();
    small.discard();
    collect(Buffer.alloc(64 * 1024, 'c'));
    expect(taken.every((byte) => byte === 'a'.charCodeAt(0))).to.equal(true);
    expect(single.toString()).to.equal('first');
  });
});

/** Measures the memory of all living objects and buffers, in bytes, after a garbage collection. */
function measureMemory(): number {
  v8.setFlagsFromString('--expose-gc');
  const collectGarbage = vm.runInNewContext('gc') as () => void;
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Collects 16 MiB in equal pieces. */
function collect(piece: Buffer): BodyBuffer {
  const body = new BodyBuffer();
  for (let size = 0; size < LARGE_BYTES; size += piece.length) {
    body.append(piece);
  }
  return body;
}
