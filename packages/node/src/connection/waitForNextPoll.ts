import { setImmediate as waitForTurn } from 'node:timers/promises';

/**
 * Waits until the event loop has read the sockets once more. The end of a connection is reported one read after its last
 * bytes, so that afterwards it is known whether the sender of these bytes has left.
 */
export async function waitForNextPoll(): Promise<void> {
  // The first turn ends the current read phase, the second one the next.
  await waitForTurn();
  await waitForTurn();
}
