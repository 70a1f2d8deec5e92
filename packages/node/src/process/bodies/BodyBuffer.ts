/** Smallest and largest block, in bytes. A block is as large as all that came before it. */
const SMALLEST_BLOCK_BYTES = 1024;
const LARGEST_BLOCK_BYTES = 1024 * 1024;

/**
 * Collects the bytes of a body. They are copied: a list of received pieces takes a hundred bytes and more for a piece of
 * one byte and keeps the whole buffer that the piece was read into.
 */
export class BodyBuffer {
  readonly #blocks: Buffer[] = [];

  /** Bytes used of the last block. */
  #used = 0;

  #size = 0;

  /** Collected bytes. */
  get size(): number {
    return this.#size;
  }

  /**
   * Adds bytes at the end.
   * @param bytes - Copied; the caller may use the buffer again.
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

  /** Returns all bytes in one piece. */
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
