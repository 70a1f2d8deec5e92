import { BinaryWriter, WireType } from '@bufbuild/protobuf/wire';
import { Result } from 'true-myth';
import { createFrameTypes } from './createFrameTypes.js';
import { FrameError } from './FrameError.js';
import type { Frame } from './generated/link_pb.js';

/** Largest message of a link in bytes. A section of a bundle (up to 1 MB) is the largest thing in one frame. */
export const MAX_BATCH_BYTES = 2 * 1024 * 1024;

/** A decoded batch: each frame has the field of its kind, and `body` tells the kind. */
interface DecodedBatch {
  readonly frames: readonly (Record<string, object> & { readonly body?: string })[];
}

/** Fields of messages that are messages themselves. */
const NULLABLE_FIELDS = ['context', 'load'] as const;

const TYPES = createFrameTypes();

/** Number of the field `frames` of `Batch`. */
const FRAMES_FIELD = 1;

/**
 * Encodes a frame for the peer link.
 * @param frame - Frame to send.
 */
export function encodeFrame(frame: Frame): Uint8Array {
  const { body } = frame;
  const fields = body.case === undefined ? {} : { [body.case]: omitDefaults(body.value) };
  return TYPES.frame.encode(fields).finish();
}

/**
 * Joins encoded frames to one message of the peer link, a `Batch`.
 * @param frames - Results of `encodeFrame`, in order.
 */
export function joinFrames(frames: readonly Uint8Array[]): Buffer {
  const writer = new BinaryWriter();
  frames.forEach((frame) => writer.tag(FRAMES_FIELD, WireType.LengthDelimited).bytes(frame));
  const bytes = writer.finish();
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/**
 * Decodes a message of the peer link. Never throws; bad input is a `FrameError`. A frame of a kind that this version
 * does not know has no body.
 * @param bytes - One message of the stream.
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

/** A field with the default value is not written, as the schema's language has it; protobufjs would write it. */
function omitDefaults(message: object): object {
  const fields = message as Readonly<Record<string, unknown>>;
  const kept: Record<string, unknown> = {};
  // Runs for every message of every frame, so it makes no list of pairs.
  Object.keys(fields).forEach((name) => {
    const value = fields[name];
    if (!isDefault(value)) {
      kept[name] = omitInside(value);
    }
  });
  return kept;
}

function omitInside(value: unknown): unknown {
  if (Array.isArray(value)) {
    return value.map(omitInside);
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

/** Messages inside a message are null when they are absent, and undefined in the generated types. */
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
