export type * from './BackendDialect.js';
export type * from './EdgeAdapter.js';
export type * from './NodePorts.js';
export { OWN_BACKEND_DIALECT } from './ownBackendDialect.js';
export { NATIVE_EDGE_ADAPTER } from './nativeEdgeAdapter.js';
export type * from './StateSource.js';
