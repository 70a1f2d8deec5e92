import { create } from '@bufbuild/protobuf';
import { expect } from 'chai';
import fc from 'fast-check';
import { decodeFrame, encodeFrame, FrameSchema, MAX_FRAME_BYTES } from '../src/index.js';

/** Seed of the random input; a failure prints the smallest counterexample. */
const RUNS = { seed: 20_261, numRuns: 2_000 };

describe('frame codec', () => {
  it('guards against input of a peer that throws instead of being an error', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        const decoded = decodeFrame(bytes);
        return decoded.isErr || decoded.value.body.case !== undefined;
      }),
      RUNS,
    );
  });

  it('guards against a damaged frame that throws instead of being an error', () => {
    const frame = create(FrameSchema, {
      body: {
        case: 'openCall',
        value: { callId: 'call', headers: [{ name: 'a', value: 'b' }], context: { depth: 3 } },
      },
    });
    const bytes = encodeFrame(frame);
    const damage = fc.array(fc.tuple(fc.nat(bytes.length - 1), fc.nat(255)), { maxLength: 4 });
    fc.assert(
      fc.property(damage, fc.nat(bytes.length), (changes, length) => {
        const damaged = Buffer.from(bytes);
        changes.forEach(([position, value]) => damaged.writeUInt8(value, position));
        decodeFrame(damaged.subarray(0, length));
      }),
      RUNS,
    );
  });

  it('guards against a frame that changes on its way', () => {
    fc.assert(
      fc.property(
        fc.string({ unit: 'grapheme' }),
        fc.nat(),
        fc.uint8Array(),
        (callId, offset, data) => {
          const frame = create(FrameSchema, {
            body: { case: 'bodyChunk', value: { callId, offset, data } },
          });
          const decoded = decodeFrame(encodeFrame(frame)).unwrapOr(undefined);
          expect(decoded?.body.value).to.deep.equal(frame.body.value);
        },
      ),
      { ...RUNS, numRuns: 300 },
    );
  });

  it('guards against frames of no body, an unknown body or any size', () => {
    const faults = [
      Buffer.alloc(0),
      Buffer.from([0xfa, 0x06, 0x00]),
      Buffer.alloc(MAX_FRAME_BYTES + 1),
    ].map((bytes) => {
      const decoded = decodeFrame(bytes);
      return decoded.isErr ? decoded.error.fault : 'none';
    });
    expect(faults).to.deep.equal(['empty', 'unknownBody', 'tooLarge']);
  });
});
