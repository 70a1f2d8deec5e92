import type { BackendAdapter } from './BackendAdapter.js';
import type { EdgeAdapter } from './EdgeAdapter.js';
import type { AdaptSettings } from '../process/settings/index.js';
import type { ConfigurationSource, ConfigurationSourceContext } from './ConfigurationSource.js';

/** Adapters that connect a node to its environment; they differ between the native interface and a platform. */
export interface NodePorts {
  readonly edge: EdgeAdapter;
  readonly backend: BackendAdapter;
  readonly createSource: (context: ConfigurationSourceContext) => ConfigurationSource;
  /**
   * Replaces settings by what the environment of the process tells, at the start and at each reload; an error when it tells
   * something that cannot be used. Absent if it tells nothing.
   */
  readonly adaptSettings?: AdaptSettings;
}
