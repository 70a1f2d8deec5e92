import type { AdmissionItem } from './AdmissionItem.js';
import type { PriorityQueues } from './PriorityQueues.js';
import type { RunningCalls } from './RunningCalls.js';
import type { ServiceTimeEstimate } from './ServiceTimeEstimate.js';

/**
 * The queue holds what the backend server serves in this time, and at least as many calls as may run at once. A longer
 * queue would be a standing queue.
 */
const BACKLOG_MS = 100;

/** Limit of the calls that run at once; `nowMs` is monotonic. */
interface ReadableLimit {
  read(nowMs: number): number;
}

/** Estimates how long queued calls wait, from the service time, the concurrency limit and the queue. */
export class WaitEstimate {
  readonly #classes: PriorityQueues;

  readonly #running: RunningCalls;

  readonly #limit: ReadableLimit;

  readonly #serviceTime: ServiceTimeEstimate;

  readonly #isNewestFirst: boolean;

  /** @param parts - State of the admission queue; only read here. */
  constructor(parts: {
    classes: PriorityQueues;
    running: RunningCalls;
    limit: ReadableLimit;
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
   * Returns whether a call would miss its deadline even if it started now. While nothing runs, only a deadline that has
   * passed counts: an estimate that refused every call would get no new sample to correct it.
   * @param item - The call.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isTooLateToStart(item: AdmissionItem, nowMs: number): boolean {
    const neededMs = this.#running.size === 0 ? 0 : this.#serviceTime.readMs(item.cost, nowMs);
    return item.deadlineMs <= nowMs + neededMs;
  }

  /**
   * Returns whether a new call is expected to miss its deadline. The calls queued before it count only while no less
   * important call is queued, since those are dropped first.
   * @param item - The call.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isDeadlineUnreachable(item: AdmissionItem, nowMs: number): boolean {
    if (this.isTooLateToStart(item, nowMs)) {
      return true;
    }
    // In the order `newest`, a new call does not wait for the calls queued before it.
    if (
      this.#isNewestFirst ||
      this.#classes.hasLowerPriority(item.priority) ||
      this.#running.size < this.#limit.read(nowMs)
    ) {
      return false;
    }
    const unitMs = this.#serviceTime.readMsPerCost(nowMs) / this.#limit.read(nowMs);
    return this.isTooLateToStart(item, nowMs + this.#classes.computeCostAhead(item) * unitMs);
  }

  /**
   * Returns whether a queued call has less than twice its expected run time left until its deadline.
   * @param item - The call.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isUrgent(item: AdmissionItem, nowMs: number): boolean {
    return item.deadlineMs - nowMs < 2 * this.#serviceTime.readMs(item.cost, nowMs);
  }

  /**
   * Computes the time needed to serve all queued calls, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  computeBacklogMs(nowMs: number): number {
    return (this.#classes.size * this.#serviceTime.readMeanMs(nowMs)) / this.#limit.read(nowMs);
  }

  /**
   * Returns whether the queue is so long that callers should send less.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isBacklogged(nowMs: number): boolean {
    return this.computeBacklogMs(nowMs) > BACKLOG_MS / 2;
  }

  /**
   * Computes the largest number of queued calls.
   * @param declared - Largest number that the bundle allows.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  computeQueueCapacity(declared: number, nowMs: number): number {
    const meanMs = this.#serviceTime.readMeanMs(nowMs);
    const limit = this.#limit.read(nowMs);
    const served = meanMs === 0 ? declared : Math.ceil((limit * BACKLOG_MS) / meanMs);
    return Math.min(declared, Math.max(limit, served));
  }
}
