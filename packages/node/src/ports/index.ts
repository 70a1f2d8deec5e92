export type * from './BackendDialect.js';
export type * from './EdgeDialect.js';
export type * from './NodePorts.js';
export { OWN_BACKEND_DIALECT } from './ownBackendDialect.js';
export { OWN_EDGE_DIALECT } from './ownEdgeDialect.js';
export type * from './StateSource.js';
