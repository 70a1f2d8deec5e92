/** Reads an answer at the speed of a slow client, in bytes a second. */
export function readSlowly(incoming, bytesPerSecond) {
  let nextMs = performance.now();
  incoming.on('data', (bytes) => {
    nextMs += (bytes.length / bytesPerSecond) * 1_000;
    const waitMs = nextMs - performance.now();
    if (waitMs > 1) {
      incoming.pause();
      setTimeout(() => incoming.resume(), waitMs);
    }
  });
}
