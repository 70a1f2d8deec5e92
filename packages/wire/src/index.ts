export * from './generated/link_pb.js';
