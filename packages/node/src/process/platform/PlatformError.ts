/** A value of the platform could not be read. */
export class PlatformError extends Error {
  /**
   * @param path - Path of the value.
   * @param fault - Kind of failure.
   * @param status - HTTP status of the answer when the fault is `status`.
   */
  constructor(
    readonly path: string,
    readonly fault: 'unreachable' | 'status' | 'indexMissing' | 'lengthMissing' | 'malformed',
    readonly status?: number,
  ) {
    super(`platform read of ${path} failed: ${fault}${status === undefined ? '' : ` ${status}`}`);
    this.name = 'PlatformError';
  }
}
