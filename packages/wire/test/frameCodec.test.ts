import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { expect } from 'chai';
import fc from 'fast-check';
import {
  BatchSchema,
  decodeBatch,
  encodeFrame,
  FrameSchema,
  joinFrames,
  MAX_BATCH_BYTES,
  type Frame,
} from '../src/index.js';

/** Seed of the random input; a failure prints the smallest counterexample. */
const RUNS = { seed: 20_261, numRuns: 2_000 };

/** Every field of a frame, those with default values too, without the class that a codec gives to its messages. */
function toPlain({ body }: Frame): object {
  const fields = FrameSchema.fields.find(({ localName }) => localName === body.case)?.message
    ?.fields;
  const value = body.value as unknown as Readonly<Record<string, unknown>>;
  const values = (fields ?? []).map(({ localName }) => {
    const field = value[localName];
    return [localName, field instanceof Uint8Array ? [...field] : field];
  });
  return { case: body.case, values };
}

describe('frame codec', () => {
  it('guards against input of a peer that throws instead of being an error', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        const decoded = decodeBatch(bytes);
        return decoded.isErr || decoded.value.length > 0;
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
    const bytes = joinFrames([encodeFrame(frame), encodeFrame(frame)]);
    const damage = fc.array(fc.tuple(fc.nat(bytes.length - 1), fc.nat(255)), { maxLength: 4 });
    fc.assert(
      fc.property(damage, fc.nat(bytes.length), (changes, length) => {
        const damaged = Buffer.from(bytes);
        changes.forEach(([position, value]) => damaged.writeUInt8(value, position));
        const decoded = decodeBatch(damaged.subarray(0, length));
        return decoded.isErr || decoded.value.length > 0;
      }),
      RUNS,
    );
  });

  it('guards against frames that change on their way, or a batch that is not of the schema', () => {
    fc.assert(
      fc.property(fc.string(), fc.nat(), fc.uint8Array(), (callId, offset, data) => {
        const frames = [
          create(FrameSchema, { body: { case: 'bodyChunk', value: { callId, offset, data } } }),
          create(FrameSchema, { body: { case: 'ping', value: { sequence: offset } } }),
        ];
        const bytes = joinFrames(frames.map(encodeFrame));
        const decoded = decodeBatch(bytes).unwrapOr([]);
        expect(decoded.map(toPlain)).to.deep.equal(frames.map(toPlain));
        // The library of the generated code reads the same frames, so that the schema is what is on the wire.
        expect(fromBinary(BatchSchema, bytes).frames).to.deep.equal(frames);
        const whole = toBinary(BatchSchema, create(BatchSchema, { frames }));
        expect(Buffer.from(whole).equals(bytes)).to.equal(true);
      }),
      { ...RUNS, numRuns: 300 },
    );
  });

  it('guards against messages of any size, without frames, or with kinds that break the rest', () => {
    const faults = [Buffer.alloc(0), Buffer.alloc(MAX_BATCH_BYTES + 1)].map((bytes) => {
      const decoded = decodeBatch(bytes);
      return decoded.isErr ? decoded.error.fault : 'none';
    });
    expect(faults).to.deep.equal(['empty', 'tooLarge']);
    const unknown = Buffer.from([0xfa, 0x06, 0x00]);
    const ping = encodeFrame(create(FrameSchema, { body: { case: 'ping', value: {} } }));
    const decoded = decodeBatch(joinFrames([unknown, ping])).unwrapOr([]);
    expect(decoded.map(({ body }) => body.case)).to.deep.equal([undefined, 'ping']);
  });
});
