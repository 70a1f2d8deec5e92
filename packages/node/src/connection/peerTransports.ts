import { connectGrpcPeer } from './connectGrpcPeer.js';
import { connectTcpPeer } from './connectTcpPeer.js';
import type { PeerCredentials } from './PeerCredentials.js';
import type { LinkTransport } from './PeerLink.js';
import { GrpcPeerServer, type InboundTransport, type PeerListener } from './GrpcPeerServer.js';
import { TcpPeerServer } from './TcpPeerServer.js';

/** Opens and accepts the streams of peer links over one transport protocol. */
export interface PeerTransport {
  /**
   * Opens a stream to a peer.
   * @param peer - Name of the VM.
   * @param address - `IP:port` of its peer listener.
   */
  readonly connect: (peer: string, address: string) => LinkTransport;

  /**
   * Creates the listener for the streams of peers.
   * @param accept - Called with each new stream.
   */
  readonly createListener: (accept: (accepted: InboundTransport) => void) => PeerListener;
}

/** Transports of peer links by their name in the settings; only gRPC creates credentials. */
export const PEER_TRANSPORTS: Readonly<
  Record<'grpc' | 'tcp', (createCredentials: () => PeerCredentials) => PeerTransport>
> = {
  grpc: (createCredentials) => {
    const credentials = createCredentials();
    return {
      connect: (peer, address) => connectGrpcPeer({ peer, address, credentials }),
      createListener: (accept) => new GrpcPeerServer(credentials, accept),
    };
  },
  tcp: () => ({
    connect: (_peer, address) => connectTcpPeer(address),
    createListener: (accept) => new TcpPeerServer(accept),
  }),
};
