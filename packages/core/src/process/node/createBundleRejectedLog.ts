import { describeBundleError } from '@tanagerpond/bundle';
import type { ConfigurationCommand } from '../../version/configuration/index.js';
import type { NodeCommand } from './NodeCommand.js';

/**
 * Creates the log line for a rejected bundle.
 * @param command - Source of the bundle and error; the error contains no values of the bundle.
 */
export function createBundleRejectedLog(
  command: Extract<ConfigurationCommand, { kind: 'rejected' }>,
): NodeCommand {
  return {
    kind: 'log',
    level: 'warn',
    part: 'configuration',
    text: 'bundle was refused',
    fields: { source: command.source, error: describeBundleError(command.error) },
  };
}
