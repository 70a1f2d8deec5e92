import type { BackendAdapter } from './BackendAdapter.js';
import type { EdgeAdapter } from './EdgeAdapter.js';
import type { ConfigurationSource, ConfigurationSourceContext } from './ConfigurationSource.js';

/** The parts of a process that differ between the product's own interface and a platform. */
export interface NodePorts {
  readonly edge: EdgeAdapter;
  readonly backend: BackendAdapter;
  readonly createSource: (context: ConfigurationSourceContext) => ConfigurationSource;
}
