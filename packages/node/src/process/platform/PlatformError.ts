/** Why a value could not be read. */
export class PlatformError extends Error {
  /**
   * @param path - Path that was read.
   * @param fault - What went wrong; `status` carries the HTTP status.
   * @param status - HTTP status, when there is one.
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
