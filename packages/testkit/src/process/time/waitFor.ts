/**
 * Waits for the given time or until the signal aborts. Resolves in both cases and never rejects.
 * @param durationMs - Time to wait, in milliseconds.
 * @param signal - Ends the wait early.
 */
export async function waitFor(durationMs: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted === true) {
    return;
  }
  await new Promise<void>((resolve) => {
    const timer = setTimeout(finish, durationMs);
    signal?.addEventListener('abort', finish, { once: true });
    function finish(): void {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    }
  });
}
