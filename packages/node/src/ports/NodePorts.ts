import type { BackendDialect } from './BackendDialect.js';
import type { EdgeAdapter } from './EdgeAdapter.js';
import type { StateSource, StateSourceContext } from './StateSource.js';

/** The parts of a process that differ between the product's own interface and a platform. */
export interface NodePorts {
  readonly edge: EdgeAdapter;
  readonly backend: BackendDialect;
  readonly createSource: (context: StateSourceContext) => StateSource;
}
