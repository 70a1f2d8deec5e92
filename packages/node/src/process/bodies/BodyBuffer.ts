/**
 * Minimum and maximum size of a block, in bytes. Between them, a new block is as large as all earlier ones together.
 */
const SMALLEST_BLOCK_BYTES = 1024;
const LARGEST_BLOCK_BYTES = 1024 * 1024;

/**
 * Collects the bytes of a body in blocks of its own. A list of the received chunks would take 100 bytes and more for a
 * chunk of one byte, and would keep the whole buffer that the chunk was read into.
 */
export class BodyBuffer {
  readonly #blocks: Buffer[] = [];

  /** Number of bytes used in the last block. */
  #used = 0;

  #size = 0;

  /** Number of collected bytes. */
  get size(): number {
    return this.#size;
  }

  /**
   * Appends bytes.
   * @param bytes - Bytes to copy; the caller may reuse the buffer.
   */
  append(bytes: Buffer): void {
    const last = this.#blocks.at(-1);
    const copied = last === undefined ? 0 : bytes.copy(last, this.#used);
    this.#used += copied;
    this.#size += copied;
    if (copied < bytes.length) {
      this.#addBlock(bytes.subarray(copied));
    }
  }

  /** Returns all bytes in one buffer; bytes of a single block are not copied. */
  toBuffer(): Buffer {
    const [first, ...others] = this.#blocks;
    if (first === undefined) {
      return Buffer.alloc(0);
    }
    return others.length === 0
      ? first.subarray(0, this.#size)
      : Buffer.concat(this.#blocks, this.#size);
  }

  #addBlock(rest: Buffer): void {
    const wanted = Math.min(LARGEST_BLOCK_BYTES, Math.max(SMALLEST_BLOCK_BYTES, this.#size));
    const block = Buffer.allocUnsafe(Math.max(rest.length, wanted));
    this.#blocks.push(block);
    this.#used = rest.copy(block);
    this.#size += rest.length;
  }
}
