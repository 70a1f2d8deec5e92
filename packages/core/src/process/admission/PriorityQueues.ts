import type { AdmissionItem } from './AdmissionItem.js';
import type { AdmissionPolicy } from './AdmissionPolicy.js';
import { FairQueue } from './FairQueue.js';

/** Number of priority classes. */
const CLASSES = 4;

/** Largest number of workspaces of each class in the state dump. */
const SNAPSHOT_WORKSPACES = 8;

/** Queued calls in strict priority order: one fair queue for each priority class, 0 (most important) to 3. */
export class PriorityQueues {
  readonly #queues: readonly FairQueue[];

  /** @param order - Order of the calls of one workspace. */
  constructor(order: AdmissionPolicy['order'] = 'arrival') {
    this.#queues = Array.from({ length: CLASSES }, () => new FairQueue(order));
  }

  /** Number of queued calls. */
  get size(): number {
    return this.#queues.reduce((sum, queue) => sum + queue.size, 0);
  }

  /**
   * Adds a call to the queue of its class.
   * @param item - The call.
   */
  add(item: AdmissionItem): void {
    this.#findQueue(item.priority).add(item);
  }

  /** Returns the call that `take` would return, without removing it; `nowMs` is monotonic. */
  findNext(nowMs: number): AdmissionItem | undefined {
    return this.#queues.find((queue) => queue.size > 0)?.findNext(nowMs);
  }

  /** Removes and returns the call that runs next; `nowMs` is monotonic. */
  take(nowMs: number): AdmissionItem | undefined {
    return this.#queues.find((queue) => queue.size > 0)?.take(nowMs);
  }

  /**
   * Removes and returns a call of the least important class that has any calls, from the workspace furthest over its
   * fair share; `nowMs` is monotonic.
   */
  dropLowest(nowMs: number): AdmissionItem | undefined {
    return this.#findLowest()?.dropOverShare(nowMs);
  }

  /**
   * Removes and returns the calls that match.
   * @param predicate - Returns true for a call to be removed.
   */
  removeWhere(predicate: (item: AdmissionItem) => boolean): readonly AdmissionItem[] {
    return this.#queues.flatMap((queue) => queue.removeWhere(predicate));
  }

  /**
   * Removes and returns the matching calls of the least important class that has any calls.
   * @param predicate - Returns true for a call to be removed.
   */
  removeLowestWhere(predicate: (item: AdmissionItem) => boolean): readonly AdmissionItem[] {
    return this.#findLowest()?.removeWhere(predicate) ?? [];
  }

  /**
   * Counts the calls that match.
   * @param predicate - Returns true for a call to be counted.
   */
  countWhere(predicate: (item: AdmissionItem) => boolean): number {
    return this.#queues.reduce((sum, queue) => sum + queue.countWhere(predicate), 0);
  }

  /**
   * Counts the queued calls of a class.
   * @param priority - Class, 0 to 3.
   */
  countByPriority(priority: number): number {
    return this.#findQueue(priority).size;
  }

  /**
   * Returns whether calls of a less important class are queued.
   * @param priority - Class to compare with.
   */
  hasLowerPriority(priority: number): boolean {
    return this.#queues.slice(priority + 1).some((queue) => queue.size > 0);
  }

  /**
   * Computes the total cost of the queued calls that would run before a new call.
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

  /** Returns, for each class, the workspaces with the most queued cost, for the state dump. */
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
