import { BinaryWriter, WireType } from '@bufbuild/protobuf/wire';
import { Result } from 'true-myth';
import { createFrameTypes } from './createFrameTypes.js';
import { FrameError } from './FrameError.js';
import type { Frame } from './generated/link_pb.js';

/**
 * Maximum size of a message on a peer link, in bytes. The largest single frame holds a section of a bundle, up to 1 MB.
 */
export const MAX_BATCH_BYTES = 2 * 1024 * 1024;

/** Batch as protobufjs decodes it: `body` names the kind of a frame and the field of that name holds its message. */
interface DecodedBatch {
  readonly frames: readonly (Record<string, object> & { readonly body?: string })[];
}

/** Fields that hold a single nested message, which protobufjs decodes to null when it is absent. */
const NULLABLE_FIELDS = ['context', 'load'] as const;

const TYPES = createFrameTypes();

/** Number of the field `frames` in `Batch`. */
const FRAMES_FIELD = 1;

/**
 * Encodes a frame. `joinFrames` combines the results to a message.
 * @param frame - Frame to send.
 */
export function encodeFrame(frame: Frame): Uint8Array {
  const { body } = frame;
  const fields = body.case === undefined ? {} : { [body.case]: omitDefaults(body.value) };
  return TYPES.frame.encode(fields).finish();
}

/**
 * Joins encoded frames to a `Batch`, which is one message of the peer link.
 * @param frames - Results of `encodeFrame`, in order.
 */
export function joinFrames(frames: readonly Uint8Array[]): Buffer {
  const writer = new BinaryWriter();
  frames.forEach((frame) => writer.tag(FRAMES_FIELD, WireType.LengthDelimited).bytes(frame));
  const bytes = writer.finish();
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/**
 * Decodes a message of the peer link. Never throws. A frame of a kind that this version does not know gets the body
 * `{ case: undefined }`.
 * @param bytes - One message of the stream.
 * @returns The frames, or a `FrameError` when the message is empty, too large or malformed.
 */
export function decodeBatch(bytes: Uint8Array): Result<readonly Frame[], FrameError> {
  if (bytes.byteLength > MAX_BATCH_BYTES) {
    return Result.err(new FrameError('tooLarge', bytes.byteLength));
  }
  try {
    const { frames } = TYPES.batch.decode(bytes) as unknown as DecodedBatch;
    return frames.length === 0
      ? Result.err(new FrameError('empty', bytes.byteLength))
      : Result.ok(frames.map(toFrame));
  } catch {
    return Result.err(new FrameError('malformed', bytes.byteLength));
  }
}

/** Omits the fields that have their default value, as proto3 requires; protobufjs would encode them. */
function omitDefaults(message: object): object {
  const fields = message as Readonly<Record<string, unknown>>;
  const kept: Record<string, unknown> = {};
  // Uses Object.keys, because this runs for every message of every frame and Object.entries allocates an array per
  // field.
  Object.keys(fields).forEach((name) => {
    const value = fields[name];
    if (!isDefault(value)) {
      kept[name] = omitNestedDefaults(value);
    }
  });
  return kept;
}

function omitNestedDefaults(value: unknown): unknown {
  if (Array.isArray(value)) {
    return value.map(omitNestedDefaults);
  }
  const isMessage = typeof value === 'object' && value !== null && !(value instanceof Uint8Array);
  return isMessage ? omitDefaults(value) : value;
}

function isDefault(value: unknown): boolean {
  if (typeof value !== 'object') {
    return value === undefined || value === '' || Object.is(value, 0) || value === false;
  }
  return (Array.isArray(value) || value instanceof Uint8Array) && value.length === 0;
}

/** Converts a decoded frame to the generated type, in which an absent nested message is undefined instead of null. */
function toFrame(decoded: DecodedBatch['frames'][number]): Frame {
  const kind = decoded.body;
  const value = kind === undefined ? undefined : decoded[kind];
  const body = value === undefined ? { case: undefined } : { case: kind, value: dropNulls(value) };
  return { $typeName: 'tanagerpond.link.v1.Frame', body } as Frame;
}

function dropNulls(value: object): object {
  const fields = value as Record<string, unknown>;
  NULLABLE_FIELDS.forEach((name) => {
    if (fields[name] === null) {
      fields[name] = undefined;
    }
  });
  return value;
}
