import type { Server } from 'node:net';

/**
 * Stops listening.
 * @param server - Server to stop.
 * @param closeOpen - Closes the connections that are still open.
 * @param limitMs - Time that open connections have to end by themselves, in milliseconds.
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
