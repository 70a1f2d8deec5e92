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
  Outcome,
  type Frame,
} from '../src/index.js';

/** Fixed seed for reproducible random input; fast-check prints the smallest counterexample of a failure. */
const RUNS = { seed: 20_261, numRuns: 2_000 };

/**
 * Converts a frame to a plain object with all fields, including default values, to compare messages of both libraries.
 */
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
  it('guards against random input from a peer that makes the decoder throw', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        const decoded = decodeBatch(bytes);
        return decoded.isErr || decoded.value.length > 0;
      }),
      RUNS,
    );
  });

  it('guards against a damaged batch from a peer that makes the decoder throw', () => {
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

  it('guards against frames that change when they are encoded and decoded, or whose encoding differs from the schema', () => {
    fc.assert(
      fc.property(fc.string(), fc.nat(), fc.uint8Array(), (callId, offset, data) => {
        const frames = [
          create(FrameSchema, { body: { case: 'bodyChunk', value: { callId, offset, data } } }),
          create(FrameSchema, { body: { case: 'ping', value: { sequence: offset } } }),
        ];
        const bytes = joinFrames(frames.map(encodeFrame));
        const decoded = decodeBatch(bytes).unwrapOr([]);
        expect(decoded.map(toPlain)).to.deep.equal(frames.map(toPlain));
        // @bufbuild/protobuf, the library of the generated code, must decode the same frames and encode the same bytes.
        expect(fromBinary(BatchSchema, bytes).frames).to.deep.equal(frames);
        const whole = toBinary(BatchSchema, create(BatchSchema, { frames }));
        expect(Buffer.from(whole).equals(bytes)).to.equal(true);
      }),
      { ...RUNS, numRuns: 300 },
    );
  });

  it('guards against calls and answers with long or nested fields whose encoding differs from the schema', () => {
    const text = fc.string({ unit: 'binary', maxLength: 200 });
    const count = fc.nat({ max: 2 ** 32 - 1 });
    const headers = fc.array(fc.record({ name: text, value: text }), { maxLength: 12 });
    const bytes = fc.uint8Array({ maxLength: 300 });
    const context = fc.record({ rootId: text, priority: count, remainingMs: fc.double() });
    const load = fc.record({ inFlight: count, queued: count, limit: count });
    const workspaces = fc.array(fc.record({ workspace: text, fraction: fc.double() }));
    const levels = fc.array(fc.record({ service: text, lowestClass: count, workspaces }));
    const demands = fc.array(fc.record({ service: text, calls: fc.float() }));
    const openCall = fc.record(
      { callId: text, context, headers, bodySize: count, body: bytes, repeatable: fc.boolean() },
      { requiredKeys: [] },
    );
    const answer = fc.record(
      { callId: text, status: count, headers, load, levels, demands, body: bytes },
      { requiredKeys: [] },
    );
    fc.assert(
      fc.property(openCall, answer, (call, reply) => {
        const frames = [
          create(FrameSchema, { body: { case: 'openCall', value: call } }),
          create(FrameSchema, { body: { case: 'answer', value: reply } }),
          create(FrameSchema, {
            body: { case: 'refused', value: { reason: 'overloaded', outcome: Outcome.NOT_RUN } },
          }),
        ];
        const encoded = joinFrames(frames.map(encodeFrame));
        const whole = toBinary(BatchSchema, create(BatchSchema, { frames }));
        expect(encoded.equals(whole)).to.equal(true);
      }),
      { ...RUNS, numRuns: 500 },
    );
  });

  it('guards against a large frame whose encoding differs from the schema', () => {
    const data = new Uint8Array(300_000).fill(7);
    const frame = create(FrameSchema, {
      body: { case: 'bodyChunk', value: { callId: 'call', offset: 1, data } },
    });
    const whole = toBinary(BatchSchema, create(BatchSchema, { frames: [frame] }));
    expect(joinFrames([encodeFrame(frame)]).equals(whole)).to.equal(true);
  });

  it('guards against an absent field of bytes that is decoded to an array, on which a digest throws', () => {
    const bytes = encodeFrame(
      create(FrameSchema, { body: { case: 'manifestAnnouncement', value: {} } }),
    );
    const [{ body }] = decodeBatch(joinFrames([bytes])).unwrapOr([]);
    expect(body.case === 'manifestAnnouncement' && body.value.manifest).to.be.instanceOf(Buffer);
  });

  it('guards against empty or oversized messages that are decoded, and frames of an unknown kind that make the batch fail', () => {
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
