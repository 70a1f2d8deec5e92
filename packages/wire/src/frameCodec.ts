import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { BinaryWriter, WireType } from '@bufbuild/protobuf/wire';
import { Result } from 'true-myth';
import { FrameError } from './FrameError.js';
import { BatchSchema, FrameSchema } from './generated/link_pb.js';
import type { Frame } from './generated/link_pb.js';

/** Largest message of a link in bytes. A section of a bundle (up to 1 MB) is the largest thing in one frame. */
export const MAX_BATCH_BYTES = 2 * 1024 * 1024;

/** Number of the field `frames` of `Batch`. */
const FRAMES_FIELD = 1;

/**
 * Encodes a frame for the peer link.
 * @param frame - Frame to send.
 */
export function encodeFrame(frame: Frame): Uint8Array {
  return toBinary(FrameSchema, frame);
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
    const { frames } = fromBinary(BatchSchema, bytes, { readUnknownFields: false });
    return frames.length === 0
      ? Result.err(new FrameError('empty', bytes.byteLength))
      : Result.ok(frames);
  } catch {
    return Result.err(new FrameError('malformed', bytes.byteLength));
  }
}
