import * as protobuf from '@bufbuild/protobuf';
import * as wire from '@tanagerpond/wire';

/** Bodies of the frames that the share ledger receives. */
export type ShareFrame =
  | { readonly case: 'shareRequest'; readonly value: wire.ShareRequest }
  | { readonly case: 'shareGrant'; readonly value: wire.ShareGrant }
  | { readonly case: 'shareReturn'; readonly value: wire.ShareReturn };

type FrameBody = Exclude<protobuf.MessageInitShape<typeof wire.FrameSchema>['body'], undefined>;

/**
 * Creates a frame of the peer link.
 * @param body - Body of the frame.
 */
export function createFrame(body: FrameBody): wire.Frame {
  return protobuf.create(wire.FrameSchema, { body });
}
