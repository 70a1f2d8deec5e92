import type { AdmissionPolicy } from './AdmissionPolicy.js';
import type { AdmissionItem } from './AdmissionItem.js';

interface Line {
  readonly workspace: string;
  weight: number;
  items: AdmissionItem[];
  queuedCost: number;
  /** Virtual time at which the next item of the workspace starts. */
  startTag: number;
}

/** An item that has waited longer than this, in milliseconds, shows a standing queue and not a short burst. */
const STANDING_MS = 30;

/**
 * Workspaces that are kept, with their start tags, before those without queued items are dropped. Keeping the tags
 * stops a workspace from gaining priority by a short pause.
 */
const IDLE_LINES = 1024;

/**
 * Weighted fair queue over workspaces (start-time fair queueing): each item taken advances the start tag of its
 * workspace by cost / weight, and the workspace with the smallest start tag is served next. Within a workspace, the
 * order `newest` takes the newest item first while there is a standing queue (adaptive LIFO; B. Maurer, "Fail at
 * Scale", ACM Queue 13(8), 2015).
 */
export class FairQueue {
  readonly #lines = new Map<string, Line>();

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
    const line = this.#resolveLine(item);
    if (line.items.length === 0) {
      line.startTag = Math.max(line.startTag, this.#virtualTime);
    }
    line.weight = item.weight;
    line.items.push(item);
    line.queuedCost += item.cost;
    this.#size += 1;
  }

  /** Returns the item that `take` would return, without removing it; `nowMs` is monotonic. */
  findNext(nowMs: number): AdmissionItem | undefined {
    const items = this.#findNextLine()?.items ?? [];
    return this.#isNewestFirst(items, nowMs) ? items[items.length - 1] : items[0];
  }

  /** Removes and returns the next item in fair order; `nowMs` is monotonic. */
  take(nowMs: number): AdmissionItem | undefined {
    const line = this.#findNextLine();
    const isNewestFirst = this.#isNewestFirst(line?.items ?? [], nowMs);
    const item = isNewestFirst ? line?.items.pop() : line?.items.shift();
    if (line === undefined || item === undefined) {
      return undefined;
    }
    this.#virtualTime = line.startTag;
    line.startTag += item.cost / line.weight;
    line.queuedCost -= item.cost;
    this.#size -= 1;
    return item;
  }

  /**
   * Removes and returns the item that would run last of the workspace with the most queued cost relative to its weight;
   * `nowMs` is monotonic.
   */
  dropOverShare(nowMs: number): AdmissionItem | undefined {
    const line = this.#findLargestLine();
    const isNewestFirst = this.#isNewestFirst(line?.items ?? [], nowMs);
    const item = isNewestFirst ? line?.items.shift() : line?.items.pop();
    if (line === undefined || item === undefined) {
      return undefined;
    }
    line.queuedCost -= item.cost;
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
    this.#lines.forEach((line) => {
      const matching = line.items.filter(predicate);
      if (matching.length === 0) {
        return;
      }
      const gone = new Set(matching);
      replaceItems(
        line,
        line.items.filter((item) => !gone.has(item)),
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
    return [...this.#lines.values()].reduce(
      (sum, line) => sum + line.items.filter(predicate).length,
      0,
    );
  }

  /**
   * Computes the total cost of the queued items that would be taken before a new item.
   * @param item - The new item.
   */
  computeCostAhead(item: AdmissionItem): number {
    const own = this.#lines.get(item.workspace)?.queuedCost ?? 0;
    const turns = (own + item.cost) / item.weight;
    return [...this.#lines.values()]
      .filter((line) => line.workspace !== item.workspace)
      .reduce((sum, line) => sum + Math.min(line.queuedCost, turns * line.weight), own);
  }

  /** Computes the total cost of the queued items. */
  computeCost(): number {
    return [...this.#lines.values()].reduce((sum, line) => sum + line.queuedCost, 0);
  }

  /**
   * Returns the workspaces with the most queued cost, for the state dump.
   * @param limit - Largest number of workspaces.
   */
  snapshot(limit: number): object {
    const waiting = [...this.#lines.values()].filter((line) => line.items.length > 0);
    waiting.sort((left, right) => right.queuedCost - left.queuedCost);
    return {
      size: this.#size,
      workspaces: waiting.slice(0, limit).map((line) => ({
        workspace: line.workspace,
        queued: line.items.length,
        cost: line.queuedCost,
      })),
    };
  }

  /** Returns whether the newest item is next: the order is `newest` and the oldest item shows a standing queue. */
  #isNewestFirst(items: readonly AdmissionItem[], nowMs: number): boolean {
    const [oldest] = items;
    const isStanding = oldest !== undefined && nowMs - oldest.arrivedMs > STANDING_MS;
    return this.#order === 'newest' && isStanding;
  }

  #resolveLine(item: AdmissionItem): Line {
    const known = this.#lines.get(item.workspace);
    if (known !== undefined) {
      return known;
    }
    this.#dropIdleLines();
    const line: Line = {
      workspace: item.workspace,
      weight: item.weight,
      items: [],
      queuedCost: 0,
      startTag: this.#virtualTime,
    };
    this.#lines.set(item.workspace, line);
    return line;
  }

  #dropIdleLines(): void {
    if (this.#lines.size < IDLE_LINES) {
      return;
    }
    [...this.#lines.values()]
      .filter((line) => line.items.length === 0)
      .forEach((line) => this.#lines.delete(line.workspace));
  }

  #findNextLine(): Line | undefined {
    let next: Line | undefined;
    this.#lines.forEach((line) => {
      if (line.items.length > 0 && (next === undefined || line.startTag < next.startTag)) {
        next = line;
      }
    });
    return next;
  }

  #findLargestLine(): Line | undefined {
    let largest: Line | undefined;
    this.#lines.forEach((line) => {
      if (line.items.length > 0 && (largest === undefined || isFurtherOver(line, largest))) {
        largest = line;
      }
    });
    return largest;
  }
}

function isFurtherOver(line: Line, other: Line): boolean {
  const difference = line.queuedCost / line.weight - other.queuedCost / other.weight;
  return difference === 0 ? line.startTag > other.startTag : difference > 0;
}

function replaceItems(line: Line, items: AdmissionItem[]): void {
  Object.assign(line, {
    items,
    queuedCost: items.reduce((sum, item) => sum + item.cost, 0),
  });
}
