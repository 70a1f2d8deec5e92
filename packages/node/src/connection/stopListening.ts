import type { Server } from 'node:net';

/**
 * Stops a server from listening and waits until all its connections are closed.
 * @param server - Server to stop.
 * @param closeOpen - Closes the connections that are still open; called after the time limit.
 * @param limitMs - Time that open connections have to end on their own, in milliseconds.
 */
export async function stopListening(
  server: Server,
  closeOpen: () => void,
  limitMs = 0,
): Promise<void> {
  const closed = new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
  const timer = setTimeout(closeOpen, limitMs);
  await closed;
  clearTimeout(timer);
}
