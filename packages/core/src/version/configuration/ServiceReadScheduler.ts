import {
  listByRendezvous,
  type Membership,
  type VmIdentity,
  type VmRecord,
} from '../../process/membership/index.js';
import type { RandomSource } from '../../process/time/index.js';
import type { ConfigurationCommand } from './ConfigurationCommand.js';

/**
 * Nodes per failure domain that watch the configuration service: two, because one may be gone before the list of VMs
 * shows it.
 */
const WATCHERS_PER_DOMAIN = 2;

/**
 * Time without contact after which a node reads the configuration service itself. Peers send something every few
 * seconds.
 */
const CONTACT_TIMEOUT_MS = 30_000;

/**
 * A read is delayed by a random part of a spread, which is so long that the whole fleet makes 400 reads per second. If
 * all 18,000 nodes of the designed size lose contact at once, the spread is 45 s. With 600 reads per second by the
 * watches of the list of VMs (18,000 nodes, 30 s each), 46 watchers in 23 failure domains, and the restart of a whole
 * failure domain (783 nodes) in the same second, this makes 1,829 reads, below the limit of 2,000.
 */
const FLEET_READS_PER_SECOND = 400;
const MIN_SPREAD_MS = 2_000;

/** Spread while the size of the fleet is unknown. */
const MAX_SPREAD_MS = 45_000;

/**
 * Interval at which the ranking is checked even if the list is the same, because VMs that start to leave change it
 * without a new list.
 */
const RANK_CHECK_MS = 10_000;

/**
 * Decides when this node reads or watches the configuration service. Two nodes per failure domain, selected by
 * rendezvous hashing, watch it; the others rely on their peers, and read it themselves only when they hear nothing for
 * a while.
 */
export class ServiceReadScheduler {
  readonly #self: VmIdentity;

  readonly #membership: Membership;

  readonly #random: RandomSource;

  #lastContactMs: number;

  #readAtMs: number | undefined;

  #watching = false;

  #rankedList: readonly VmRecord[] | undefined;

  #rankedMs = -Infinity;

  /** @param options - Own VM, list of VMs, random source, and monotonic time of the start in milliseconds. */
  constructor(options: {
    self: VmIdentity;
    membership: Membership;
    random: RandomSource;
    startedMs: number;
  }) {
    this.#self = options.self;
    this.#membership = options.membership;
    this.#random = options.random;
    this.#lastContactMs = options.startedMs;
  }

  /**
   * Records that a peer or the configuration service has sent a version, and cancels a scheduled read.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordContact(nowMs: number): void {
    this.#lastContactMs = nowMs;
    this.#readAtMs = undefined;
  }

  /**
   * Schedules a read after a random delay, unless one is already scheduled.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  scheduleRead(nowMs: number): void {
    this.#readAtMs ??= nowMs + this.#random.next() * this.#computeSpread();
  }

  /**
   * Returns the read that is due, and starts or ends the watch when the ranking of this node changed.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): readonly ConfigurationCommand[] {
    return [...this.#updateWatch(nowMs), ...this.#readWhenDue(nowMs)];
  }

  /** Returns the state for the state dump. */
  snapshot(nowMs: number): object {
    return { watching: this.#watching, newsAgeMs: nowMs - this.#lastContactMs };
  }

  #computeSpread(): number {
    const nodes = this.#membership
      .listFailureDomains()
      .reduce((sum, domain) => sum + this.#membership.findByFailureDomain(domain).length, 0);
    const spreadMs = (nodes * 1_000) / FLEET_READS_PER_SECOND;
    return nodes === 0 ? MAX_SPREAD_MS : Math.max(MIN_SPREAD_MS, spreadMs);
  }

  #readWhenDue(nowMs: number): readonly ConfigurationCommand[] {
    if (this.#readAtMs === undefined && nowMs - this.#lastContactMs >= CONTACT_TIMEOUT_MS) {
      this.scheduleRead(nowMs);
    }
    if (this.#readAtMs === undefined || nowMs < this.#readAtMs) {
      return [];
    }
    this.recordContact(nowMs);
    return [{ kind: 'readService' }];
  }

  #updateWatch(nowMs: number): readonly ConfigurationCommand[] {
    const list = this.#membership.findByFailureDomain(this.#self.failureDomain);
    if (this.#isRanked(list) && nowMs - this.#rankedMs < RANK_CHECK_MS) {
      return [];
    }
    this.#rankedList = list;
    this.#rankedMs = nowMs;
    const watching = this.#isWatcher(list);
    if (watching === this.#watching) {
      return [];
    }
    this.#watching = watching;
    return [{ kind: 'watchService', enabled: watching }];
  }

  /**
   * Returns whether the list is the one that was ranked last. An unchanged list is the same array, except that every
   * empty list is a new one.
   */
  #isRanked(list: readonly VmRecord[]): boolean {
    return list === this.#rankedList || (list.length === 0 && this.#rankedList?.length === 0);
  }

  #isWatcher(list: readonly VmRecord[]): boolean {
    const { name, failureDomain } = this.#self;
    const present = list.map((vm) => vm.name).filter((vm) => !this.#membership.isLeaving(vm));
    const ranked = listByRendezvous(`configuration/${failureDomain}`, [
      ...new Set([...present, name]),
    ]);
    return ranked.indexOf(name) < WATCHERS_PER_DOMAIN && !this.#membership.isLeaving(name);
  }
}
