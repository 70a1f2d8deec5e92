import type { BackendAdapter } from './BackendAdapter.js';
import type { EdgeAdapter } from './EdgeAdapter.js';
import type { ConfigurationSource, ConfigurationSourceContext } from './ConfigurationSource.js';

/** Adapters that connect a node to its environment; they differ between the native interface and a platform. */
export interface NodePorts {
  readonly edge: EdgeAdapter;
  readonly backend: BackendAdapter;
  readonly createSource: (context: ConfigurationSourceContext) => ConfigurationSource;
}
