interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * Schedules events and runs them in the order of their times (binary heap). Events at the same time run in the order in
 * which they were scheduled.
 */
export class EventHeap {
  readonly #heap: Event[] = [];

  #order = 0;

  /**
   * Schedules an event.
   * @param atMs - Time of the event, in milliseconds.
   * @param run - Callback of the event.
   */
  schedule(atMs: number, run: () => void): void {
    this.#order += 1;
    this.#heap.push({ atMs, order: this.#order, run });
    this.#moveUp(this.#heap.length - 1);
  }

  /**
   * Runs the events that are due, including those that they schedule for the same time or earlier.
   * @param nowMs - Current time, in milliseconds.
   */
  runDue(nowMs: number): void {
    while (this.#heap.length > 0 && this.#heap[0].atMs <= nowMs) {
      this.#take().run();
    }
  }

  #take(): Event {
    const [first] = this.#heap;
    const last = this.#heap.pop();
    if (last !== undefined && this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#moveDown(0);
    }
    return first;
  }

  #moveUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (isBefore(this.#heap[parent], this.#heap[index])) {
        return;
      }
      this.#swap(index, parent);
      index = parent;
    }
  }

  #moveDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      if (left >= this.#heap.length) {
        return;
      }
      const right = left + 1;
      const hasRight = right < this.#heap.length;
      const child = hasRight && isBefore(this.#heap[right], this.#heap[left]) ? right : left;
      if (isBefore(this.#heap[index], this.#heap[child])) {
        return;
      }
      this.#swap(index, child);
      index = child;
    }
  }

  #swap(left: number, right: number): void {
    [this.#heap[left], this.#heap[right]] = [this.#heap[right], this.#heap[left]];
  }
}

function isBefore(left: Event, right: Event): boolean {
  return left.atMs === right.atMs ? left.order < right.order : left.atMs < right.atMs;
}
