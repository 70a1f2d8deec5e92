export { buildFrame } from './LinkStream.js';
export { connectGrpcPeer } from './connectGrpcPeer.js';
export { PeerCredentials } from './PeerCredentials.js';
export { PeerLinks } from './PeerLinks.js';
export { GrpcPeerServer } from './GrpcPeerServer.js';
export type { PeerListener } from './GrpcPeerServer.js';
export { startListening } from './startListening.js';
export { stopListening } from './stopListening.js';
export { PEER_TRANSPORTS } from './peerTransports.js';
