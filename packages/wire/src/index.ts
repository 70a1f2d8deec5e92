export * from './createFrame.js';
export * from './createHeaders.js';
export * from './frameCodec.js';
export * from './FrameError.js';
export * from './generated/link_pb.js';
