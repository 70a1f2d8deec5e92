import { Client, Metadata } from '@grpc/grpc-js';
import { LINK_CHANNEL_OPTIONS, LINK_PATH, passBytes } from './linkService.js';
import type { PeerCredentials } from './PeerCredentials.js';
import type { LinkTransport } from './PeerLink.js';

/**
 * Opens a gRPC stream to a peer on a dedicated connection.
 * @param options - `address` is `IP:port`; `peer` is the VM name that the peer's certificate must contain.
 */
export function connectGrpcPeer(options: {
  readonly peer: string;
  readonly address: string;
  readonly credentials: PeerCredentials;
}): LinkTransport {
  const { peer, address, credentials } = options;
  const name = credentials.secure ? { 'grpc.ssl_target_name_override': peer } : {};
  const client = new Client(address, credentials.channel, { ...LINK_CHANNEL_OPTIONS, ...name });
  const stream = client.makeBidiStreamRequest(LINK_PATH, passBytes, passBytes, new Metadata(), {});
  stream.on('status', () => client.close());
  return {
    stream,
    abort() {
      stream.cancel();
      client.close();
    },
  };
}
