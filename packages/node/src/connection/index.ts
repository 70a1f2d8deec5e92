export { buildFrame } from './LinkStream.js';
export { connectPeer } from './connectPeer.js';
export { PeerCredentials } from './PeerCredentials.js';
export { PeerLinks } from './PeerLinks.js';
export { PeerServer } from './PeerServer.js';
export type { PeerListener } from './PeerServer.js';
export { startListening } from './startListening.js';
export { stopListening } from './stopListening.js';
export { PEER_TRANSPORTS } from './peerTransports.js';
