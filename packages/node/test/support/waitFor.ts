/** Time limit of a wait, in milliseconds. */
const LIMIT_MS = 8_000;

const CHECK_MS = 5;

/**
 * Waits until a condition holds; throws after 8 s.
 * @param what - Name of the condition in the error.
 * @param holds - Condition, checked every 5 ms.
 */
export async function waitFor(what: string, holds: () => boolean): Promise<void> {
  const endMs = performance.now() + LIMIT_MS;
  while (!holds()) {
    if (performance.now() > endMs) {
      throw new Error(`timed out waiting for ${what}`);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, CHECK_MS);
    });
  }
}
