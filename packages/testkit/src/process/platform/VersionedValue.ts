import type * as http from 'node:http';
import * as time from '../time/index.js';

/**
 * A value with an index that increases with each new value and that readers can watch. While stale, it shows readers
 * the value and index that it had when it became stale.
 */
export class VersionedValue<T> {
  #index = 0;

  #value: T | undefined;

  #stale: { readonly index: number; readonly value: T | undefined } | undefined;

  readonly #waiting = new Set<() => void>();

  /** Index that readers see; 0 before the first value. */
  get index(): number {
    return this.#stale?.index ?? this.#index;
  }

  /** Value that readers see. */
  get value(): T | undefined {
    return this.#stale === undefined ? this.#value : this.#stale.value;
  }

  /**
   * Publishes a value under the next index.
   * @param value - New value.
   * @param lagMs - Delay until the value is published, in milliseconds.
   */
  publish(value: T, lagMs: number): void {
    if (lagMs > 0) {
      setTimeout(() => this.publish(value, 0), lagMs).unref();
      return;
    }
    this.#index += 1;
    this.#value = value;
    this.#checkWaiting();
  }

  /** Sets whether readers keep seeing the current value, whatever is published later. */
  setStale(isStale: boolean): void {
    if (!isStale) {
      this.#stale = undefined;
      this.#checkWaiting();
      return;
    }
    this.#stale ??= { index: this.#index, value: this.#value };
  }

  /**
   * Waits until the index that readers see is greater than a given one.
   * @param after - Latest index that the reader knows.
   * @param waitMs - Maximum time to wait, in milliseconds.
   * @param request - Request of the reader; the wait ends when its connection is closed.
   * @returns False if the time passed or the connection was closed without a change.
   */
  async waitForChange(
    after: number,
    waitMs: number,
    request: http.IncomingMessage,
  ): Promise<boolean> {
    if (this.index > after) {
      return true;
    }
    const changed = new AbortController();
    const check = () => {
      if (this.index > after) {
        changed.abort();
      }
    };
    this.#waiting.add(check);
    request.socket.once('close', () => changed.abort());
    await time.waitFor(waitMs, changed.signal);
    this.#waiting.delete(check);
    return this.index > after;
  }

  #checkWaiting(): void {
    [...this.#waiting].forEach((check) => check());
  }
}
