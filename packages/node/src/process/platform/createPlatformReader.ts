import type { ConfigurationSourceContext } from '../../ports/index.js';
import { formatAddress } from '../settings/index.js';
import { PlatformReader } from './PlatformReader.js';

/**
 * Creates the source for the product's own configuration service and VM list.
 * @param context - Settings and where messages go.
 */
export function createPlatformReader({
  settings,
  ...common
}: ConfigurationSourceContext): PlatformReader {
  const { address, waitMs } = settings.platform;
  return new PlatformReader({ ...common, address: formatAddress(address), waitMs });
}
