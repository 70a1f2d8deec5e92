import type { ConfigurationSourceContext } from '../../ports/index.js';
import { formatAddress } from '../settings/index.js';
import { PlatformReader } from './PlatformReader.js';

/**
 * Creates the native configuration source, which reads the platform that the settings name.
 * @param context - Settings, log, counters, and the callback that receives the messages.
 */
export function createPlatformReader({
  settings,
  ...common
}: ConfigurationSourceContext): PlatformReader {
  const { address, waitMs } = settings.platform;
  return new PlatformReader({ ...common, address: formatAddress(address), waitMs });
}
