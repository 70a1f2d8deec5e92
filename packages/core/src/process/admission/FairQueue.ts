import type { AdmissionPolicy } from './AdmissionPolicy.js';
import type { AdmissionItem } from './AdmissionItem.js';

/** Queued items of one workspace, oldest first. */
interface WorkspaceQueue {
  readonly workspace: string;
  weight: number;
  items: AdmissionItem[];
  queuedCost: number;
  /** Virtual time at which the next item of the workspace starts. */
  startTag: number;
}

/** An item that has waited longer than this, in milliseconds, shows a standing queue and not a short burst. */
const STANDING_QUEUE_MS = 30;

/**
 * Once this many workspaces are kept, those without queued items are dropped. Until then their start tags are kept, so
 * that a workspace gains no priority by a short pause.
 */
const MAX_IDLE_QUEUES = 1024;

/**
 * Weighted fair queue over workspaces (start-time fair queueing): each item taken advances the start tag of its
 * workspace by cost / weight, and the workspace with the smallest start tag is served next. Within a workspace, the
 * order `newest` takes the newest item first while there is a standing queue (adaptive LIFO; B. Maurer, "Fail at
 * Scale", ACM Queue 13(8), 2015).
 */
export class FairQueue {
  readonly #queues = new Map<string, WorkspaceQueue>();

  readonly #order: AdmissionPolicy['order'];

  #virtualTime = 0;

  #size = 0;

  /** @param order - Order of the calls of one workspace. */
  constructor(order: AdmissionPolicy['order'] = 'arrival') {
    this.#order = order;
  }

  /** Number of queued items. */
  get size(): number {
    return this.#size;
  }

  /**
   * Adds an item at the end of the queue of its workspace.
   * @param item - Item to add.
   */
  add(item: AdmissionItem): void {
    const queue = this.#resolveQueue(item);
    if (queue.items.length === 0) {
      queue.startTag = Math.max(queue.startTag, this.#virtualTime);
    }
    queue.weight = item.weight;
    queue.items.push(item);
    queue.queuedCost += item.cost;
    this.#size += 1;
  }

  /** Returns the item that `take` would return, without removing it; `nowMs` is monotonic. */
  findNext(nowMs: number): AdmissionItem | undefined {
    const items = this.#findNextQueue()?.items ?? [];
    return this.#isNewestFirst(items, nowMs) ? items[items.length - 1] : items[0];
  }

  /** Removes and returns the next item in fair order; `nowMs` is monotonic. */
  take(nowMs: number): AdmissionItem | undefined {
    const queue = this.#findNextQueue();
    const isNewestFirst = this.#isNewestFirst(queue?.items ?? [], nowMs);
    const item = isNewestFirst ? queue?.items.pop() : queue?.items.shift();
    if (queue === undefined || item === undefined) {
      return undefined;
    }
    this.#virtualTime = queue.startTag;
    queue.startTag += item.cost / queue.weight;
    queue.queuedCost -= item.cost;
    this.#size -= 1;
    return item;
  }

  /**
   * Removes and returns the item that would run last of the workspace with the most queued cost relative to its weight;
   * `nowMs` is monotonic.
   */
  dropOverShare(nowMs: number): AdmissionItem | undefined {
    const queue = this.#findLargestQueue();
    const isNewestFirst = this.#isNewestFirst(queue?.items ?? [], nowMs);
    const item = isNewestFirst ? queue?.items.shift() : queue?.items.pop();
    if (queue === undefined || item === undefined) {
      return undefined;
    }
    queue.queuedCost -= item.cost;
    this.#size -= 1;
    return item;
  }

  /**
   * Removes the items that match.
   * @param predicate - Returns true for an item to be removed.
   * @returns The removed items.
   */
  removeWhere(predicate: (item: AdmissionItem) => boolean): readonly AdmissionItem[] {
    const removed: AdmissionItem[] = [];
    this.#queues.forEach((queue) => {
      const matching = queue.items.filter(predicate);
      if (matching.length === 0) {
        return;
      }
      const gone = new Set(matching);
      replaceItems(
        queue,
        queue.items.filter((item) => !gone.has(item)),
      );
      removed.push(...matching);
    });
    this.#size -= removed.length;
    return removed;
  }

  /**
   * Counts the items that match.
   * @param predicate - Returns true for an item to be counted.
   */
  countWhere(predicate: (item: AdmissionItem) => boolean): number {
    return [...this.#queues.values()].reduce(
      (sum, queue) => sum + queue.items.filter(predicate).length,
      0,
    );
  }

  /**
   * Computes the total cost of the queued items that would be taken before a new item.
   * @param item - The new item.
   */
  computeCostAhead(item: AdmissionItem): number {
    const own = this.#queues.get(item.workspace)?.queuedCost ?? 0;
    const turns = (own + item.cost) / item.weight;
    return [...this.#queues.values()]
      .filter((queue) => queue.workspace !== item.workspace)
      .reduce((sum, queue) => sum + Math.min(queue.queuedCost, turns * queue.weight), own);
  }

  /** Computes the total cost of the queued items. */
  computeCost(): number {
    return [...this.#queues.values()].reduce((sum, queue) => sum + queue.queuedCost, 0);
  }

  /**
   * Returns the workspaces with the most queued cost, for the state dump.
   * @param limit - Largest number of workspaces.
   */
  snapshot(limit: number): object {
    const waiting = [...this.#queues.values()].filter((queue) => queue.items.length > 0);
    waiting.sort((left, right) => right.queuedCost - left.queuedCost);
    return {
      size: this.#size,
      workspaces: waiting.slice(0, limit).map((queue) => ({
        workspace: queue.workspace,
        queued: queue.items.length,
        cost: queue.queuedCost,
      })),
    };
  }

  /** Returns whether the newest item is next: the order is `newest` and the oldest item shows a standing queue. */
  #isNewestFirst(items: readonly AdmissionItem[], nowMs: number): boolean {
    const [oldest] = items;
    const isStanding = oldest !== undefined && nowMs - oldest.arrivedMs > STANDING_QUEUE_MS;
    return this.#order === 'newest' && isStanding;
  }

  #resolveQueue(item: AdmissionItem): WorkspaceQueue {
    const known = this.#queues.get(item.workspace);
    if (known !== undefined) {
      return known;
    }
    this.#dropIdleQueues();
    const queue: WorkspaceQueue = {
      workspace: item.workspace,
      weight: item.weight,
      items: [],
      queuedCost: 0,
      startTag: this.#virtualTime,
    };
    this.#queues.set(item.workspace, queue);
    return queue;
  }

  #dropIdleQueues(): void {
    if (this.#queues.size < MAX_IDLE_QUEUES) {
      return;
    }
    [...this.#queues.values()]
      .filter((queue) => queue.items.length === 0)
      .forEach((queue) => this.#queues.delete(queue.workspace));
  }

  #findNextQueue(): WorkspaceQueue | undefined {
    let next: WorkspaceQueue | undefined;
    this.#queues.forEach((queue) => {
      if (queue.items.length > 0 && (next === undefined || queue.startTag < next.startTag)) {
        next = queue;
      }
    });
    return next;
  }

  #findLargestQueue(): WorkspaceQueue | undefined {
    let largest: WorkspaceQueue | undefined;
    this.#queues.forEach((queue) => {
      if (queue.items.length > 0 && (largest === undefined || isFurtherOver(queue, largest))) {
        largest = queue;
      }
    });
    return largest;
  }
}

function isFurtherOver(queue: WorkspaceQueue, other: WorkspaceQueue): boolean {
  const difference = queue.queuedCost / queue.weight - other.queuedCost / other.weight;
  return difference === 0 ? queue.startTag > other.startTag : difference > 0;
}

function replaceItems(queue: WorkspaceQueue, items: AdmissionItem[]): void {
  Object.assign(queue, {
    items,
    queuedCost: items.reduce((sum, item) => sum + item.cost, 0),
  });
}
