import type { Frame } from './generated/link_pb.js';

/**
 * Creates a frame from a complete message. Unlike `create` of `@bufbuild/protobuf`, it neither checks nor copies
 * fields: it runs for every frame, and `create` takes several times as long.
 * @param body - Kind of the frame (`case`) and its message (`value`).
 */
export function createFrame(body: Frame['body']): Frame {
  return { $typeName: 'tanagerpond.link.v1.Frame', body };
}
