/** Time limit of any wait in a test, in milliseconds. */
const LIMIT_MS = 8_000;

const CHECK_MS = 5;

/**
 * Waits until a condition holds.
 * @param what - Names the condition in the error.
 * @param holds - Checked every 5 ms.
 */
export async function waitFor(what: string, holds: () => boolean): Promise<void> {
  const endMs = performance.now() + LIMIT_MS;
  while (!holds()) {
    if (performance.now() > endMs) {
      throw new Error(`waited in vain for ${what}`);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, CHECK_MS);
    });
  }
}
