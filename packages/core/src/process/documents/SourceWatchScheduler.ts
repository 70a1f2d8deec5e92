import { listByRendezvous, type Membership, type VmIdentity } from '../membership/index.js';
import type { RandomSource } from '../time/index.js';

/**
 * Nodes of the whole fleet that watch the source, in equal parts of the failure domains; the others rely on their peers.
 * With a third of the VMs cut off from the source, all six are cut off once in 700 times.
 */
const MIN_WATCHERS = 6;

/** Up to this number of VMs every node watches the source, because a few watchers could all be cut off from it. */
const SMALL_FLEET = 24;

/** Time without a change of the number of listed VMs after which a starting node decides, in milliseconds. */
const SETTLE_MS = 1_000;

/** Age of the documents after which a node watches the source itself, in milliseconds. */
const MAX_AGE_MS = 8_000;

/**
 * Mean time between two calls of the fleet that the source ends without a change, in milliseconds. Each one proves its
 * connection, or shows that it has gone silent. The nodes share these calls, so that their number does not grow with the
 * fleet.
 */
const PROOF_GAP_MS = 400;

/** Shortest mean waiting time of a call to the source, in milliseconds. */
const MIN_MEAN_WAIT_MS = 1_500;

/** Relative change of the mean waiting time from which on it is told to the source. */
const WAIT_TOLERANCE = 0.2;

/**
 * Age of the documents after which a watching node no longer trusts its open connections, in milliseconds. Peers tell the
 * ages of theirs, so no node of the fleet has heard from the source since.
 */
export const MAX_WATCHED_AGE_MS = 4_000;

/**
 * Mean time between two nodes of the fleet that begin to try the source because they no longer hear from a watcher, in
 * milliseconds. Without it the whole fleet would call the source at once.
 */
const FALLBACK_GAP_MS = 50;

/** Time for which such a node tries to reach the source, and for which it watches a source that answers, in milliseconds. */
const FALLBACK_TRY_MS = 1_500;
const FALLBACK_WATCH_MS = 10_000;

/** Interval at which the ranking is checked although the list is the same, in milliseconds. */
const RANK_CHECK_MS = 2_000;

/** Options of a scheduler. */
export interface SourceWatchSchedulerOptions {
  readonly self: VmIdentity;
  readonly membership: Membership;
  readonly random: RandomSource;
  /** Monotonic time of the start, in milliseconds. */
  readonly startedMs: number;
}

/** How a node watches the source from now on. */
export interface WatchDecision {
  readonly enabled: boolean;
  /** Mean time for which the source may hold a call without changes, in milliseconds. */
  readonly meanWaitMs: number;
}

/**
 * Decides whether this node watches the source of the documents. In a large fleet, a few nodes of each failure domain do,
 * chosen by rendezvous hashing. The others get the documents from peers, together with their age, and watch the source
 * themselves when the age shows that no watcher is heard from any more. A call that waits proves nothing, because its
 * connection may have gone silent: only an answer lowers the age.
 */
export class SourceWatchScheduler {
  readonly #options: SourceWatchSchedulerOptions;

  #isWatching: boolean | undefined;

  /** Mean waiting time that was last told to the source, in milliseconds. */
  #meanWaitMs = MIN_MEAN_WAIT_MS;

  /** Time at which the connections to the source were last given up because the documents were old. */
  #renewedMs = Number.NEGATIVE_INFINITY;

  #isReachable = true;

  /** Time at which the documents were last known to be current, by a peer or by the own source. */
  #confirmedMs: number;

  #listSize = 0;

  #listSizeMs: number;

  #rankedMs = Number.NEGATIVE_INFINITY;

  #isRanked = false;

  /** Time at which this node begins to watch because no watcher is heard from. */
  #fallbackFromMs: number | undefined;

  /** @param options - Own VM, list of VMs, random source and time of the start. */
  constructor(options: SourceWatchSchedulerOptions) {
    this.#options = options;
    this.#confirmedMs = options.startedMs;
    this.#listSizeMs = options.startedMs;
  }

  /** Whether this node watches the source, or has not decided yet. */
  get isWatching(): boolean {
    return this.#isWatching !== false;
  }

  /**
   * Records whether the source answers this node.
   * @param reachable - True after an answer, false after a failed request.
   */
  recordSource(reachable: boolean): void {
    this.#isReachable = reachable;
  }

  /**
   * Records that the source has told this node the state of all documents.
   * @param asOfMs - Monotonic time from which that state is, in milliseconds.
   */
  recordConfirmed(asOfMs: number): void {
    this.#confirmedMs = Math.max(this.#confirmedMs, asOfMs);
  }

  /**
   * Records the age of a peer's documents.
   * @param ageMs - Time since they were known to be current, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordPeerAge(ageMs: number, nowMs: number): void {
    if (ageMs >= 0) {
      this.recordConfirmed(nowMs - ageMs);
    }
  }

  /**
   * Measures the time since the documents of this node were known to be current, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  measureAge(nowMs: number): number {
    return nowMs - this.#confirmedMs;
  }

  /**
   * Decides anew.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns How to watch the source from now on; undefined when the decision is the same as before.
   */
  advance(nowMs: number): WatchDecision | undefined {
    if (this.#isWatching === undefined && !this.#isSettled(nowMs)) {
      return undefined;
    }
    const enabled = this.#isWatcher(nowMs) || this.#isFallback(nowMs);
    const meanWaitMs = this.#computeMeanWait();
    const isSameWait = Math.abs(meanWaitMs - this.#meanWaitMs) <= WAIT_TOLERANCE * this.#meanWaitMs;
    if (enabled === this.#isWatching && (isSameWait || !enabled)) {
      return undefined;
    }
    if (enabled && this.#isWatching === false) {
      this.#isReachable = false;
    }
    this.#isWatching = enabled;
    this.#meanWaitMs = meanWaitMs;
    return { enabled, meanWaitMs };
  }

  /**
   * Returns whether this node must give up its connections to the source and read again, because no answer of it was
   * heard of for too long; true once until the time has passed again. After a failed call the source is tried anyway.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isOverdue(nowMs: number): boolean {
    const sinceMs = Math.max(this.#confirmedMs, this.#renewedMs);
    if (this.#isWatching !== true || !this.#isReachable || nowMs - sinceMs < MAX_WATCHED_AGE_MS) {
      return false;
    }
    this.#renewedMs = nowMs;
    return true;
  }

  #isSettled(nowMs: number): boolean {
    const { size } = this.#options.membership;
    if (size !== this.#listSize) {
      this.#listSize = size;
      this.#listSizeMs = nowMs;
    }
    return size > 0 && nowMs - this.#listSizeMs >= SETTLE_MS;
  }

  #isWatcher(nowMs: number): boolean {
    if (nowMs - this.#rankedMs >= RANK_CHECK_MS) {
      this.#rankedMs = nowMs;
      this.#isRanked = this.#computeRanked();
    }
    return this.#isRanked;
  }

  #computeMeanWait(): number {
    const { size } = this.#options.membership;
    const watchers = size <= SMALL_FLEET ? size : MIN_WATCHERS;
    return Math.max(MIN_MEAN_WAIT_MS, watchers * PROOF_GAP_MS);
  }

  #computeRanked(): boolean {
    const { membership, self } = this.#options;
    if (membership.size <= SMALL_FLEET) {
      return true;
    }
    const present = membership
      .findByFailureDomain(self.failureDomain)
      .map(({ name }) => name)
      .filter((name) => !membership.isLeaving(name));
    const ranked = listByRendezvous(`source/${self.failureDomain}`, present);
    const rank = ranked.indexOf(self.name);
    const domains = membership.listFailureDomains().length;
    return rank >= 0 && rank < Math.ceil(MIN_WATCHERS / domains);
  }

  /** Returns whether this node watches because it has not heard from a watcher for long; such a watch has an end. */
  #isFallback(nowMs: number): boolean {
    const isStale = nowMs - this.#confirmedMs >= MAX_AGE_MS;
    this.#fallbackFromMs ??= isStale ? nowMs + this.#drawDelay() : undefined;
    if (this.#fallbackFromMs === undefined) {
      return false;
    }
    const triedMs = nowMs - this.#fallbackFromMs;
    const limitMs = this.#isReachable ? FALLBACK_WATCH_MS : FALLBACK_TRY_MS;
    if ((triedMs < 0 && !isStale) || triedMs >= limitMs) {
      this.#fallbackFromMs = undefined;
      return false;
    }
    return triedMs >= 0;
  }

  #drawDelay(): number {
    const { membership, random } = this.#options;
    return membership.size * FALLBACK_GAP_MS * random.next();
  }
}
