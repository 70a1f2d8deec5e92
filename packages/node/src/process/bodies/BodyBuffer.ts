import { BLOCK_BYTES, BLOCK_POOL } from './BlockPool.js';

/** Minimum size of a block, in bytes. Up to the size of the pool's blocks, a new block is as large as all earlier ones. */
const SMALLEST_BLOCK_BYTES = 1024;

/**
 * Collects the bytes of a body in blocks of its own. A list of the received chunks would take 100 bytes and more for a
 * chunk of one byte, and would keep the whole buffer that the chunk was read into.
 */
export class BodyBuffer {
  #blocks: Buffer[] = [];

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

  /**
   * Ends the collection, and returns all bytes in one buffer; bytes of a single block are not copied. No further bytes may
   * be appended.
   */
  takeBuffer(): Buffer {
    const [first, ...others] = this.#blocks;
    if (first === undefined) {
      return Buffer.alloc(0);
    }
    if (others.length === 0) {
      this.#blocks = [];
      return first.subarray(0, this.#size);
    }
    const all = Buffer.concat(this.#blocks, this.#size);
    this.discard();
    return all;
  }

  /** Drops the collected bytes, whose memory is used again. */
  discard(): void {
    BLOCK_POOL.release(this.#blocks);
    this.#blocks = [];
  }

  #addBlock(rest: Buffer): void {
    const block = this.#size >= BLOCK_BYTES ? BLOCK_POOL.take() : this.#createBlock(rest.length);
    this.#blocks.push(block);
    this.#used = rest.copy(block);
    this.#size += this.#used;
    if (this.#used < rest.length) {
      this.#addBlock(rest.subarray(this.#used));
    }
  }

  #createBlock(length: number): Buffer {
    return Buffer.allocUnsafe(Math.max(length, SMALLEST_BLOCK_BYTES, this.#size));
  }
}
