import type * as wire from '@tanagerpond/wire';
import type { ShareCommand } from './ShareCommand.js';

/**
 * Moves returns of tokens into a request that goes to the same holder, which saves a message.
 * @param commands - Commands of one tick; the requests in them are modified.
 * @returns The commands without the merged returns.
 */
export function mergeReturns(commands: readonly ShareCommand[]): readonly ShareCommand[] {
  const requests = new Map<string, wire.ShareRequest>();
  commands.forEach((command) => {
    if (command.kind === 'sendRequest' && command.frame.body.case === 'shareRequest') {
      requests.set(command.peer, command.frame.body.value);
    }
  });
  return commands.filter((command) => {
    const isReturn = command.kind === 'sendRequest' && command.frame.body.case === 'shareReturn';
    const request = isReturn ? requests.get(command.peer) : undefined;
    if (!isReturn || request === undefined || command.frame.body.case !== 'shareReturn') {
      return true;
    }
    request.returned.push(command.frame.body.value);
    return false;
  });
}
