import type { AdmissionItem } from './AdmissionItem.js';
import type { AdmissionPolicy } from './AdmissionPolicy.js';
import { FairQueue } from './FairQueue.js';

/** Priority classes. */
const CLASSES = 4;

/** Workspaces shown for each class. */
const SNAPSHOT_WORKSPACES = 8;

/** Waiting calls in strict order of the priority classes, with a fair queue in each class. */
export class PriorityQueues {
  readonly #queues: readonly FairQueue[];

  /** @param order - Order of the calls of one workspace. */
  constructor(order: AdmissionPolicy['order'] = 'arrival') {
    this.#queues = Array.from({ length: CLASSES }, () => new FairQueue(order));
  }

  /** Number of waiting calls. */
  get size(): number {
    return this.#queues.reduce((sum, queue) => sum + queue.size, 0);
  }

  /**
   * Adds a call.
   * @param item - The call.
   */
  add(item: AdmissionItem): void {
    this.#findQueue(item.priority).add(item);
  }

  /** Finds the call that `take` would return. */
  findNext(nowMs: number): AdmissionItem | undefined {
    return this.#queues.find((queue) => queue.size > 0)?.findNext(nowMs);
  }

  /** Takes the call that runs next. */
  take(nowMs: number): AdmissionItem | undefined {
    return this.#queues.find((queue) => queue.size > 0)?.take(nowMs);
  }

  /** Drops a call of the lowest class, from the workspace that is furthest over its share. */
  dropLowest(nowMs: number): AdmissionItem | undefined {
    return this.#findLowest()?.dropOverShare(nowMs);
  }

  /**
   * Removes the calls that match.
   * @param predicate - True for a call to be removed.
   */
  removeWhere(predicate: (item: AdmissionItem) => boolean): readonly AdmissionItem[] {
    return this.#queues.flatMap((queue) => queue.removeWhere(predicate));
  }

  /**
   * Removes the calls that match from the lowest class that has any calls.
   * @param predicate - True for a call to be removed.
   */
  removeLowestWhere(predicate: (item: AdmissionItem) => boolean): readonly AdmissionItem[] {
    return this.#findLowest()?.removeWhere(predicate) ?? [];
  }

  /**
   * Counts the calls that match.
   * @param predicate - True for a call to be counted.
   */
  countWhere(predicate: (item: AdmissionItem) => boolean): number {
    return this.#queues.reduce((sum, queue) => sum + queue.countWhere(predicate), 0);
  }

  /**
   * Counts the calls of a class.
   * @param priority - The class.
   */
  countByPriority(priority: number): number {
    return this.#findQueue(priority).size;
  }

  /**
   * Tells whether less important calls wait.
   * @param priority - Class to compare with.
   */
  hasLowerPriority(priority: number): boolean {
    return this.#queues.slice(priority + 1).some((queue) => queue.size > 0);
  }

  /**
   * Computes the cost that would be served before a new call.
   * @param item - The new call.
   */
  computeCostAhead(item: AdmissionItem): number {
    return this.#queues
      .slice(0, item.priority)
      .reduce(
        (sum, queue) => sum + queue.computeCost(),
        this.#findQueue(item.priority).computeCostAhead(item),
      );
  }

  /** Shows the longest lines of each class. */
  snapshot(): readonly object[] {
    return this.#queues.map((queue) => queue.snapshot(SNAPSHOT_WORKSPACES));
  }

  #findQueue(priority: number): FairQueue {
    return this.#queues[Math.max(0, Math.min(CLASSES - 1, priority))];
  }

  #findLowest(): FairQueue | undefined {
    return [...this.#queues].reverse().find((queue) => queue.size > 0);
  }
}
