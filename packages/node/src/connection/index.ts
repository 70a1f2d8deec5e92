export { buildFrame } from './LinkStream.js';
export { connectPeer } from './connectPeer.js';
export { connectTcpPeer } from './connectTcpPeer.js';
export { PeerCredentials } from './PeerCredentials.js';
export type { LinkTransport } from './PeerLink.js';
export { PeerLinks } from './PeerLinks.js';
export { PeerServer } from './PeerServer.js';
export type { InboundTransport, PeerListener } from './PeerServer.js';
export { TcpPeerServer } from './TcpPeerServer.js';
