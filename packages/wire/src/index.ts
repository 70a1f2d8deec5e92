export * from './frameCodec.js';
export * from './FrameError.js';
export * from './generated/link_pb.js';
