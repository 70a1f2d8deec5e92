import type { AdmissionItem } from './AdmissionItem.js';
import type { PriorityQueues } from './PriorityQueues.js';
import type { SlotLimit } from './SlotLimit.js';
import type { RunningCalls } from './RunningCalls.js';
import type { ServiceTimeEstimate } from './ServiceTimeEstimate.js';

/** The queue holds what the backend server serves in this time; more would be a standing queue. */
const BACKLOG_MS = 100;

/** Estimates how long calls wait, from the service time, the limit and the queue. */
export class WaitEstimate {
  readonly #classes: PriorityQueues;

  readonly #running: RunningCalls;

  readonly #limit: SlotLimit;

  readonly #serviceTime: ServiceTimeEstimate;

  readonly #isNewestFirst: boolean;

  /** @param parts - State of the admission queue; only read here. */
  constructor(parts: {
    classes: PriorityQueues;
    running: RunningCalls;
    limit: SlotLimit;
    serviceTime: ServiceTimeEstimate;
    isNewestFirst: boolean;
  }) {
    this.#classes = parts.classes;
    this.#running = parts.running;
    this.#limit = parts.limit;
    this.#serviceTime = parts.serviceTime;
    this.#isNewestFirst = parts.isNewestFirst;
  }

  /**
   * Tells whether a call that started now would miss its deadline. With nothing running, the estimate is not trusted,
   * because no run would correct it.
   * @param item - The call.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isTooLateToStart(item: AdmissionItem, nowMs: number): boolean {
    const neededMs = this.#running.size === 0 ? 0 : this.#serviceTime.readMs(item.cost, nowMs);
    return item.deadlineMs <= nowMs + neededMs;
  }

  /**
   * Tells whether a new call would miss its deadline in the queue. With less important calls waiting, it is kept until
   * it is late: they are the ones to be dropped.
   * @param item - The call.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isDeadlineUnreachable(item: AdmissionItem, nowMs: number): boolean {
    if (this.isTooLateToStart(item, nowMs)) {
      return true;
    }
    // With the newest call first, a call does not wait for those before it.
    if (
      this.#isNewestFirst ||
      this.#classes.hasLowerPriority(item.priority) ||
      this.#running.size < this.#limit.read()
    ) {
      return false;
    }
    const unitMs = this.#serviceTime.readMsPerCost(nowMs) / this.#limit.read();
    return this.isTooLateToStart(item, nowMs + this.#classes.computeCostAhead(item) * unitMs);
  }

  /**
   * Tells whether a waiting call would miss its deadline if it waited for one more mean run.
   * @param item - The call.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isUrgent(item: AdmissionItem, nowMs: number): boolean {
    return item.deadlineMs - nowMs < 2 * this.#serviceTime.readMs(item.cost, nowMs);
  }

  /**
   * Computes the time in which the waiting calls are served, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  computeBacklogMs(nowMs: number): number {
    return (this.#classes.size * this.#serviceTime.readMeanMs(nowMs)) / this.#limit.read();
  }

  /**
   * Tells whether the queue is so long that callers should send less.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isBacklogged(nowMs: number): boolean {
    return this.computeBacklogMs(nowMs) > BACKLOG_MS / 2;
  }

  /**
   * Computes the number of calls that may wait.
   * @param declared - Calls that may wait by the bundle.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  computeQueueCapacity(declared: number, nowMs: number): number {
    const meanMs = this.#serviceTime.readMeanMs(nowMs);
    const limit = this.#limit.read();
    const served = meanMs === 0 ? declared : Math.ceil((limit * BACKLOG_MS) / meanMs);
    return Math.min(declared, Math.max(limit, served));
  }
}
