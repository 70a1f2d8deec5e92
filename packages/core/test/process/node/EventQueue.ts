interface Event {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** Events of a session on a fake clock, in the order of time and, at one time, of scheduling. */
export class EventQueue {
  readonly #events: Event[] = [];

  #sequence = 0;

  #nowMs = 0;

  /** Time of the event that runs, in milliseconds. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Runs a function after a delay in milliseconds. */
  schedule(delayMs: number, run: () => void): void {
    this.#sequence += 1;
    const event = { atMs: this.#nowMs + delayMs, sequence: this.#sequence, run };
    let index = this.#events.length;
    this.#events.push(event);
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isBefore(event, this.#events[parent])) {
        break;
      }
      this.#events[index] = this.#events[parent];
      index = parent;
    }
    this.#events[index] = event;
  }

  /** Runs the events up to a time in milliseconds. */
  runUntil(untilMs: number): void {
    let next = this.#events[0];
    while (next !== undefined && next.atMs <= untilMs) {
      this.#removeFirst();
      this.#nowMs = next.atMs;
      next.run();
      [next] = this.#events;
    }
    this.#nowMs = untilMs;
  }

  #removeFirst(): void {
    const last = this.#events.pop() as Event;
    const { length } = this.#events;
    if (length === 0) {
      return;
    }
    let index = 0;
    for (let child = 1; child < length; child = 2 * index + 1) {
      const right = child + 1;
      const isRightFirst = right < length && isBefore(this.#events[right], this.#events[child]);
      const smaller = isRightFirst ? right : child;
      if (!isBefore(this.#events[smaller], last)) {
        break;
      }
      this.#events[index] = this.#events[smaller];
      index = smaller;
    }
    this.#events[index] = last;
  }
}

function isBefore(left: Event, right: Event): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.sequence < right.sequence);
}
