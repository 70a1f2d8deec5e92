export type * from './BackendAdapter.js';
export type * from './EdgeAdapter.js';
export type * from './NodePorts.js';
export { readRateLimit } from './readRateLimit.js';
export type { NamedRateLimit } from './readRateLimit.js';
export { NATIVE_BACKEND_ADAPTER } from './nativeBackendAdapter.js';
export { NATIVE_EDGE_ADAPTER } from './nativeEdgeAdapter.js';
export type * from './ConfigurationSource.js';
