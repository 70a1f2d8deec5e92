/** Size of a block, in bytes. */
export const BLOCK_BYTES = 1024 * 1024;

/** Maximum number of free blocks that are kept for later use. */
const MAX_FREE_BLOCKS = 64;

/**
 * Blocks for the bodies that are being received. A block that is released is used again, so that the memory of the process
 * follows the bodies that are being received, and not the time until the next garbage collection.
 */
export class BlockPool {
  readonly #free: Buffer[] = [];

  /** Takes a block with undefined content. */
  take(): Buffer {
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /**
   * Releases blocks.
   * @param blocks - Blocks of this pool to which no other reference remains; buffers of another size are ignored.
   */
  release(blocks: readonly Buffer[]): void {
    const own = blocks.filter(({ length }) => length === BLOCK_BYTES);
    this.#free.push(...own.slice(0, MAX_FREE_BLOCKS - this.#free.length));
  }
}

/** Pool of the process. */
export const BLOCK_POOL = new BlockPool();
