interface Entry {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Simulated clock with scheduled events, in order of time and then of insertion; a binary heap. */
export class EventQueue {
  readonly #heap: Entry[] = [];

  #order = 0;

  nowMs = 0;

  /** Schedules an event at a time in milliseconds; a time in the past counts as now. */
  schedule(atMs: number, run: () => void): void {
    this.#order += 1;
    const entry = { atMs: Math.max(atMs, this.nowMs), order: this.#order, run };
    this.#heap.push(entry);
    let index = this.#heap.length - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.#swapIfLater(parent, index)) {
        return;
      }
      index = parent;
    }
  }

  /** Runs all events up to a time in milliseconds, which becomes the current time. */
  run(untilMs: number): void {
    while ((this.#heap[0]?.atMs ?? Number.POSITIVE_INFINITY) <= untilMs) {
      const entry = this.#take();
      this.nowMs = entry.atMs;
      entry.run();
    }
    this.nowMs = untilMs;
  }

  #take(): Entry {
    const first = this.#heap[0];
    const last = this.#heap.pop() as Entry;
    if (this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#siftDown();
    }
    return first;
  }

  #siftDown(): void {
    let index = 0;
    while (index < this.#heap.length) {
      const left = 2 * index + 1;
      const right = left + 1;
      const child = right < this.#heap.length && this.#isLater(left, right) ? right : left;
      if (child >= this.#heap.length || !this.#swapIfLater(index, child)) {
        return;
      }
      index = child;
    }
  }

  #isLater(left: number, right: number): boolean {
    const a = this.#heap[left];
    const b = this.#heap[right];
    return a.atMs > b.atMs || (a.atMs === b.atMs && a.order > b.order);
  }

  #swapIfLater(upper: number, lower: number): boolean {
    if (!this.#isLater(upper, lower)) {
      return false;
    }
    const entry = this.#heap[upper];
    this.#heap[upper] = this.#heap[lower];
    this.#heap[lower] = entry;
    return true;
  }
}
