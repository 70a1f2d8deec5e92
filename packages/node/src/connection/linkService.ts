import type { ServiceDefinition } from '@grpc/grpc-js';
import { MAX_BATCH_BYTES } from '@tanagerpond/wire';

/** Full name of the one method of the peer link. */
export const LINK_PATH = '/tanagerpond.link.v1.Link/Connect';

/**
 * Service definition of the peer link. The stream carries encoded frames; the link itself runs the codec, so that bad
 * input is a typed error of the link and not a status of the library.
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

/** HTTP/2 window of a stream, in bytes: above the frames in flight of one link, so that it never limits a single body. */
const FLOW_CONTROL_WINDOW_BYTES = 1024 * 1024;

/** Options of both ends of a link. */
export const LINK_CHANNEL_OPTIONS = {
  'grpc.max_receive_message_length': MAX_BATCH_BYTES,
  'grpc.max_send_message_length': MAX_BATCH_BYTES,
  'grpc-node.flow_control_window': FLOW_CONTROL_WINDOW_BYTES,
  // A link that fails is replaced by the decisions; the library must not repeat a request on its own.
  'grpc.enable_retries': 0,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_http_proxy': 0,
  'grpc.service_config_disable_resolution': 1,
} as const;

/**
 * Passes the bytes of one message on unchanged.
 * @param bytes - Encoded frame.
 */
export function passBytes(bytes: Buffer): Buffer {
  return bytes;
}
