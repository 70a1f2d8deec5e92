import type { ServiceDefinition } from '@grpc/grpc-js';
import { MAX_BATCH_BYTES } from '@tanagerpond/wire';

/** Path of the only method of the gRPC service. */
export const LINK_PATH = '/tanagerpond.link.v1.Link/Connect';

/**
 * gRPC service definition of the peer link. Messages pass through as bytes and the link decodes them itself, so that
 * bad input is a typed error of the link instead of a gRPC status.
 */
export const LINK_SERVICE = {
  connect: {
    path: LINK_PATH,
    requestStream: true,
    responseStream: true,
    requestSerialize: passBytes,
    requestDeserialize: passBytes,
    responseSerialize: passBytes,
    responseDeserialize: passBytes,
  },
} as const satisfies ServiceDefinition;

/** HTTP/2 flow-control window of a stream, in bytes: above the window of a single body, so that it never limits one. */
const FLOW_CONTROL_WINDOW_BYTES = 1024 * 1024;

/** Channel options of both ends of a link. */
export const LINK_CHANNEL_OPTIONS = {
  'grpc.max_receive_message_length': MAX_BATCH_BYTES,
  'grpc.max_send_message_length': MAX_BATCH_BYTES,
  'grpc-node.flow_control_window': FLOW_CONTROL_WINDOW_BYTES,
  // The decision engine handles failed links; grpc-js must not send a request again on its own.
  'grpc.enable_retries': 0,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_http_proxy': 0,
  'grpc.service_config_disable_resolution': 1,
} as const;

/**
 * Returns the bytes of a message unchanged; serializer and deserializer of the gRPC service.
 * @param bytes - Encoded batch of frames.
 */
export function passBytes(bytes: Buffer): Buffer {
  return bytes;
}
