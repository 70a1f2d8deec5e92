import {
  listByRendezvous,
  type Membership,
  type VmIdentity,
  type VmRecord,
} from '../../process/membership/index.js';
import type { RandomSource } from '../../process/time/index.js';
import type { ConfigurationCommand } from './ConfigurationCommand.js';

/** Two readers per failure domain: one may be gone before the list says so. */
const READERS_PER_DOMAIN = 2;

/** A node that has heard nothing for this long reads for itself. Peers speak every few seconds. */
const SILENCE_MS = 30_000;

/**
 * The read then waits for a random part of a time in which the whole fleet makes 400 reads a second. If all 18,000 nodes
 * of the designed size fall silent at once, that time is 45 s. With 600 reads a second by the watches of the list of
 * VMs (18,000 nodes, 30 s each), 46 watchers of 23 failure domains and the restart of a whole failure domain
 * (783 nodes) in the same second, these are 1,829 reads, below the limit of 2,000.
 */
const FLEET_READS_PER_SECOND = 400;
const MIN_SPREAD_MS = 2_000;

/** Spread while the size of the fleet is not known. */
const MAX_SPREAD_MS = 45_000;

/** Leaving marks change the ranking without a new list. */
const RANK_CHECK_MS = 10_000;

/** Decides when this node reads or watches the configuration service. */
export class ServiceReading {
  readonly #self: VmIdentity;

  readonly #membership: Membership;

  readonly #random: RandomSource;

  #newsMs: number;

  #readAtMs: number | undefined;

  #watching = false;

  #rankedList: readonly VmRecord[] | undefined;

  #rankedMs = -Infinity;

  /** @param options - Own VM, the list, the source of randomness and the time of the start. */
  constructor(options: {
    self: VmIdentity;
    membership: Membership;
    random: RandomSource;
    startedMs: number;
  }) {
    this.#self = options.self;
    this.#membership = options.membership;
    this.#random = options.random;
    this.#newsMs = options.startedMs;
  }

  /**
   * Records that a peer or the service was heard; a read that was planned is not needed any more.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordNews(nowMs: number): void {
    this.#newsMs = nowMs;
    this.#readAtMs = undefined;
  }

  /**
   * Plans the read of a node that has no version yet.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  scheduleRead(nowMs: number): void {
    this.#readAtMs ??= nowMs + this.#random.next() * this.#computeSpread();
  }

  /**
   * Returns the reads that are due and changes of the watch.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): readonly ConfigurationCommand[] {
    return [...this.#updateWatch(nowMs), ...this.#readWhenDue(nowMs)];
  }

  /** Shows the state for the state dump. */
  snapshot(nowMs: number): object {
    return { watching: this.#watching, newsAgeMs: nowMs - this.#newsMs };
  }

  #computeSpread(): number {
    const nodes = this.#membership
      .listFailureDomains()
      .reduce((sum, domain) => sum + this.#membership.findByFailureDomain(domain).length, 0);
    const spreadMs = (nodes * 1_000) / FLEET_READS_PER_SECOND;
    return nodes === 0 ? MAX_SPREAD_MS : Math.max(MIN_SPREAD_MS, spreadMs);
  }

  #readWhenDue(nowMs: number): readonly ConfigurationCommand[] {
    if (this.#readAtMs === undefined && nowMs - this.#newsMs >= SILENCE_MS) {
      this.scheduleRead(nowMs);
    }
    if (this.#readAtMs === undefined || nowMs < this.#readAtMs) {
      return [];
    }
    this.recordNews(nowMs);
    return [{ kind: 'readService' }];
  }

  #updateWatch(nowMs: number): readonly ConfigurationCommand[] {
    const list = this.#membership.findByFailureDomain(this.#self.failureDomain);
    if (this.#isRanked(list) && nowMs - this.#rankedMs < RANK_CHECK_MS) {
      return [];
    }
    this.#rankedList = list;
    this.#rankedMs = nowMs;
    const watching = this.#isReader(list);
    if (watching === this.#watching) {
      return [];
    }
    this.#watching = watching;
    return [{ kind: 'watchService', enabled: watching }];
  }

  /** A list that did not change is the same array, except that every empty one is new. */
  #isRanked(list: readonly VmRecord[]): boolean {
    return list === this.#rankedList || (list.length === 0 && this.#rankedList?.length === 0);
  }

  #isReader(list: readonly VmRecord[]): boolean {
    const { name, failureDomain } = this.#self;
    const present = list.map((vm) => vm.name).filter((vm) => !this.#membership.isLeaving(vm));
    const ranked = listByRendezvous(`configuration/${failureDomain}`, [
      ...new Set([...present, name]),
    ]);
    return ranked.indexOf(name) < READERS_PER_DOMAIN && !this.#membership.isLeaving(name);
  }
}
