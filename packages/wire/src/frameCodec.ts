import { Result } from 'true-myth';
import { createFrameTypes } from './createFrameTypes.js';
import { createMessagePlan, createTag, type FieldPlan } from './createMessagePlan.js';
import { FrameError } from './FrameError.js';
import type { Frame } from './generated/link_pb.js';
import { MessageEncoder } from './MessageEncoder.js';

/** Largest message of a link in bytes. A section of a bundle (up to 1 MB) is the largest thing in one frame. */
export const MAX_BATCH_BYTES = 2 * 1024 * 1024;

/** A decoded batch: each frame has the field of its kind, and `body` tells the kind. */
interface DecodedBatch {
  readonly frames: readonly (Record<string, object> & { readonly body?: string })[];
}

/** Fields of messages that are messages themselves. */
const NULLABLE_FIELDS = ['context', 'load'] as const;

const TYPES = createFrameTypes();

const ENCODER = new MessageEncoder();

const NO_BYTES = new Uint8Array(0);

/** Field of a frame for each kind of body. */
const BODY_FIELDS: ReadonlyMap<string, FieldPlan> = new Map(
  createMessagePlan(TYPES.frame).map((field) => [field.name, field]),
);

/** Field `frames` of `Batch`, with frames that are encoded already. */
const FRAMES_FIELD: FieldPlan = {
  name: 'frames',
  tag: createTag(1, 'bytes'),
  kind: 'bytes',
  repeated: true,
  message: undefined,
};

/**
 * Encodes a frame for the peer link.
 * @param frame - Frame to send.
 */
export function encodeFrame({ body }: Frame): Uint8Array {
  const field = body.case === undefined ? undefined : BODY_FIELDS.get(body.case);
  return field === undefined ? NO_BYTES : ENCODER.encodeField(field, body.value);
}

/**
 * Joins encoded frames to one message of the peer link, a `Batch`.
 * @param frames - Results of `encodeFrame`, in order.
 */
export function joinFrames(frames: readonly Uint8Array[]): Buffer {
  return ENCODER.encodeList(FRAMES_FIELD, frames);
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
