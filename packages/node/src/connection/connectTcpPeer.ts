import { connect } from 'node:net';
import type { LinkTransport } from './PeerLink.js';
import { TcpFrameStream } from './TcpFrameStream.js';

/**
 * Opens a plain TCP stream to a peer.
 * @param address - `IP:port` of the peer.
 */
export function connectTcpPeer(address: string): LinkTransport {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  const socket = connect({ host, port: Number(address.slice(colon + 1)), noDelay: true });
  return { stream: new TcpFrameStream(socket), abort: () => socket.destroy() };
}
