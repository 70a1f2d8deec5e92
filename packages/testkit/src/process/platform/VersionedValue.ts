import type * as http from 'node:http';
import * as time from '../time/index.js';

/** A value with a growing index that readers can watch. A stale one keeps showing what it had. */
export class VersionedValue<T> {
  #index = 0;

  #value: T | undefined;

  #shown: { readonly index: number; readonly value: T | undefined } | undefined;

  readonly #waiting = new Set<() => void>();

  /** Index that readers see; 0 before the first value. */
  get index(): number {
    return this.#shown?.index ?? this.#index;
  }

  /** Value that readers see. */
  get value(): T | undefined {
    return this.#shown === undefined ? this.#value : this.#shown.value;
  }

  /**
   * Publishes a value.
   * @param value - New value.
   * @param lagMs - Time until readers see it, in milliseconds.
   */
  publish(value: T, lagMs: number): void {
    if (lagMs > 0) {
      setTimeout(() => this.publish(value, 0), lagMs).unref();
      return;
    }
    this.#index += 1;
    this.#value = value;
    this.#wake();
  }

  /** Sets whether readers keep seeing the present value whatever is published. */
  setStale(isStale: boolean): void {
    if (!isStale) {
      this.#shown = undefined;
      this.#wake();
      return;
    }
    this.#shown ??= { index: this.#index, value: this.#value };
  }

  /**
   * Waits until the index is greater than a given one.
   * @param after - Index that the reader knows.
   * @param waitMs - Longest wait, in milliseconds.
   * @param request - Request of the reader; its end frees the wait.
   * @returns False when the time passed without a change.
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

  #wake(): void {
    [...this.#waiting].forEach((check) => check());
  }
}
