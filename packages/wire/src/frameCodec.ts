import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { Result } from 'true-myth';
import { FrameError } from './FrameError.js';
import { FrameSchema } from './generated/link_pb.js';
import type { Frame } from './generated/link_pb.js';

/** Largest frame in bytes. A section of a bundle (up to 1 MiB) is the largest thing that travels in one frame. */
export const MAX_FRAME_BYTES = 2 * 1024 * 1024;

/**
 * Encodes a frame for the peer link.
 * @param frame - Frame to send.
 */
export function encodeFrame(frame: Frame): Buffer {
  const bytes = toBinary(FrameSchema, frame);
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/**
 * Decodes a frame from the peer link. Never throws; bad input is a `FrameError`.
 * @param bytes - One message of the stream.
 */
export function decodeFrame(bytes: Uint8Array): Result<Frame, FrameError> {
  if (bytes.byteLength > MAX_FRAME_BYTES) {
    return Result.err(new FrameError('tooLarge', bytes.byteLength));
  }
  if (bytes.byteLength === 0) {
    return Result.err(new FrameError('empty', 0));
  }
  try {
    return checkFrame(fromBinary(FrameSchema, bytes, { readUnknownFields: false }), bytes);
  } catch {
    return Result.err(new FrameError('malformed', bytes.byteLength));
  }
}

function checkFrame(frame: Frame, bytes: Uint8Array): Result<Frame, FrameError> {
  return frame.body.case === undefined
    ? Result.err(new FrameError('unknownBody', bytes.byteLength))
    : Result.ok(frame);
}
