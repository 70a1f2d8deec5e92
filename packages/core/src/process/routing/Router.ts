import type { Membership, VmIdentity, VmRecord } from '../membership/index.js';
import type { RandomSource } from '../time/index.js';
import type { RoutingOutcome } from './RoutingOutcome.js';
import { VmStatistics } from './VmStatistics.js';

/** Latency that is assumed before any was measured. */
const UNKNOWN_LATENCY_MS = 10;

/** Largest fraction of the VMs of a service that may be ejected at once. */
const MAX_EJECTED_FRACTION = 1 / 3;

/**
 * The node's own failure domain gets all calls but `REMOTE_PROBE_FRACTION` while its latency is up to this multiple of
 * the latency elsewhere. Its fraction then falls, and reaches 0 at twice this multiple.
 */
const LOCAL_TOLERANCE = 1.1;

/** Fraction of calls always sent to other failure domains, so that the latency there is measured. */
const REMOTE_PROBE_FRACTION = 0.02;

/** When statistics of this many VMs are kept, those of VMs unused for `IDLE_MS` or no longer listed are dropped. */
const MAX_VMS = 4096;
const IDLE_MS = 600_000;
const SNAPSHOT_VMS = 64;

interface Candidate {
  readonly vm: VmRecord;
  readonly statistics: VmStatistics;
}

/**
 * Selects the VM for a call: the better of two random candidates by expected latency and calls in flight, with
 * preference for the node's own failure domain. Ejects VMs that fail much more often than the others of their service.
 */
export class Router {
  readonly #self: VmIdentity;

  readonly #membership: Membership;

  readonly #random: RandomSource;

  readonly #statistics = new Map<string, VmStatistics>();

  /** Candidates by list of VMs. The membership returns the same list object until the list changes. */
  #candidates = new WeakMap<readonly VmRecord[], readonly Candidate[]>();

  /** @param options - `self`: VM of this node; `membership`: known VMs; `random`: source of the random choices. */
  constructor(options: { self: VmIdentity; membership: Membership; random: RandomSource }) {
    this.#self = options.self;
    this.#membership = options.membership;
    this.#random = options.random;
  }

  /**
   * Selects a VM of a service.
   * @param service - Name of the service.
   * @param excluded - Names of VMs that must not be selected, such as those of earlier attempts.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The VM, or undefined if the service has no VM that is not excluded. A VM that is ejected or whose link is
   * down is returned only if there is no other.
   */
  choose(service: string, excluded: ReadonlySet<string>, nowMs: number): VmRecord | undefined {
    const all = this.#findCandidates(service, nowMs);
    const usable = findUsable(all, excluded, nowMs);
    const medianMs = computeMedianMs(all);
    const group = this.#pickDomain(usable, medianMs, nowMs);
    return this.#pickBetter(group, medianMs, nowMs)?.vm;
  }

  /**
   * Records that a call was sent to a VM.
   * @param vm - Name of the VM.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordSent(vm: string, nowMs: number): void {
    this.#resolveStatistics(vm, nowMs).recordSent(nowMs);
  }

  /**
   * Records how a call to a VM ended, once for each `recordSent`, and ejects the VM if it has become an outlier.
   * @param vm - Name of the VM.
   * @param outcome - How the call ended.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordOutcome(vm: string, outcome: RoutingOutcome, nowMs: number): void {
    this.#resolveStatistics(vm, nowMs).recordOutcome(outcome, nowMs);
    if (outcome.kind === 'failed' || outcome.kind === 'refused') {
      this.#checkOutlier(vm, nowMs);
    }
  }

  /**
   * Records that a link went up or down.
   * @param vm - Name of the peer.
   * @param up - Whether frames can be sent.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordLink(vm: string, up: boolean, nowMs: number): void {
    this.#resolveStatistics(vm, nowMs).recordLink(up, nowMs);
  }

  /**
   * Finds the rate limit that a VM last reported, in calls a second; 0 if none.
   * @param vm - Name of the VM.
   */
  findRateLimit(vm: string): number {
    return this.#statistics.get(vm)?.rateLimit ?? 0;
  }

  /** Returns the statistics of the busiest VMs for the state dump; `nowMs` is monotonic. */
  snapshot(nowMs: number): object {
    const busiest = [...this.#statistics].sort(
      ([, left], [, right]) => right.inFlight - left.inFlight || right.lastUsedMs - left.lastUsedMs,
    );
    return {
      count: this.#statistics.size,
      vms: busiest
        .slice(0, SNAPSHOT_VMS)
        .map(([vm, statistics]) => ({ vm, ...statistics.snapshot(nowMs) })),
    };
  }

  #findCandidates(service: string, nowMs: number): readonly Candidate[] {
    const vms = this.#membership.findCandidates(service);
    const known = this.#candidates.get(vms);
    if (known !== undefined) {
      return known;
    }
    const candidates = vms.map((vm) => ({
      vm,
      statistics: this.#resolveStatistics(vm.name, nowMs),
    }));
    this.#candidates.set(vms, candidates);
    return candidates;
  }

  #pickDomain(usable: readonly Candidate[], medianMs: number, nowMs: number): readonly Candidate[] {
    const local: Candidate[] = [];
    const remote: Candidate[] = [];
    for (let index = 0; index < usable.length; index++) {
      const candidate = usable[index];
      const isLocal = candidate.vm.failureDomain === this.#self.failureDomain;
      (isLocal ? local : remote).push(candidate);
    }
    if (local.length === 0 || remote.length === 0) {
      return usable;
    }
    const localMs = computeGroupMs(local, medianMs, nowMs);
    const ratio = localMs / computeGroupMs(remote, medianMs, nowMs);
    const remoteFraction = Math.max(REMOTE_PROBE_FRACTION, ratio / LOCAL_TOLERANCE - 1);
    return this.#random.next() < remoteFraction ? remote : local;
  }

  #pickBetter(group: readonly Candidate[], medianMs: number, nowMs: number): Candidate | undefined {
    const first = this.#pickWithSlowStart(group, undefined, nowMs);
    const second = this.#pickWithSlowStart(group, first, nowMs);
    if (first === undefined || second === undefined) {
      return first;
    }
    const isFirst = computeScore(first, medianMs, nowMs) <= computeScore(second, medianMs, nowMs);
    return isFirst ? first : second;
  }

  /**
   * Picks a random candidate other than the skipped one. A candidate in slow start is picked with reduced probability;
   * if it is passed over, another one is picked instead.
   */
  #pickWithSlowStart(
    group: readonly Candidate[],
    skipped: Candidate | undefined,
    nowMs: number,
  ): Candidate | undefined {
    const drawn = this.#pickUniform(group, skipped);
    if (
      drawn === undefined ||
      this.#random.next() < drawn.statistics.computeSlowStartFraction(nowMs)
    ) {
      return drawn;
    }
    const others = group.filter((candidate) => candidate !== drawn && candidate !== skipped);
    return others[Math.floor(this.#random.next() * others.length)] ?? drawn;
  }

  /** Picks a candidate other than the skipped one with equal probability, without building a list of the others. */
  #pickUniform(group: readonly Candidate[], skipped: Candidate | undefined): Candidate | undefined {
    const skippedAt = skipped === undefined ? group.length : group.indexOf(skipped);
    const count = skipped === undefined ? group.length : group.length - 1;
    const drawnAt = Math.floor(this.#random.next() * count);
    return count === 0 ? undefined : group[drawnAt < skippedAt ? drawnAt : drawnAt + 1];
  }

  #checkOutlier(name: string, nowMs: number): void {
    const service = this.#membership.find(name)?.service;
    const all = service === undefined ? [] : this.#findCandidates(service, nowMs);
    const others = all.filter(({ vm }) => vm.name !== name);
    const ejected = others.filter(({ statistics }) => statistics.isEjected(nowMs)).length;
    if (others.length === 0 || ejected + 1 > all.length * MAX_EJECTED_FRACTION) {
      return;
    }
    const totalScore = others.reduce((sum, { statistics }) => sum + statistics.failureScore, 0);
    const statistics = this.#resolveStatistics(name, nowMs);
    if (statistics.isOutlier(totalScore / others.length, nowMs)) {
      statistics.beginEjection(nowMs);
    }
  }

  #resolveStatistics(vm: string, nowMs: number): VmStatistics {
    const known = this.#statistics.get(vm);
    if (known !== undefined) {
      return known;
    }
    if (this.#statistics.size >= MAX_VMS) {
      this.#dropIdle(nowMs);
    }
    const statistics = new VmStatistics(nowMs);
    this.#statistics.set(vm, statistics);
    return statistics;
  }

  #dropIdle(nowMs: number): void {
    this.#candidates = new WeakMap();
    this.#statistics.forEach((statistics, vm) => {
      const isIdle = statistics.inFlight === 0 && nowMs - statistics.lastUsedMs > IDLE_MS;
      if (isIdle || this.#membership.find(vm) === undefined) {
        this.#statistics.delete(vm);
      }
    });
  }
}

/**
 * Finds the candidates that may be selected. Prefers VMs with a usable link that are not ejected, and falls back to the
 * others if there are none. Runs over all VMs of a service for each call, so it builds as few lists as possible.
 */
function findUsable(
  all: readonly Candidate[],
  excluded: ReadonlySet<string>,
  nowMs: number,
): readonly Candidate[] {
  const allowed = excluded.size === 0 ? all : all.filter(({ vm }) => !excluded.has(vm.name));
  const linked = allowed.filter(({ statistics }) => statistics.isLinkUsable(nowMs));
  // If every link has broken recently, one is tried anyway rather than refusing the call because no VM is available.
  const reachable = linked.length > 0 ? linked : allowed;
  const kept = reachable.filter(({ statistics }) => !statistics.isEjected(nowMs));
  const sound = kept.length > 0 ? kept : reachable;
  const withRoom = sound.filter(({ statistics }) => statistics.hasRoom(nowMs));
  return withRoom.length > 0 ? withRoom : sound;
}

function computeMedianMs(candidates: readonly Candidate[]): number {
  const known = new Float64Array(candidates.length);
  let count = 0;
  for (let index = 0; index < candidates.length; index++) {
    const { latencyMs } = candidates[index].statistics;
    if (latencyMs !== undefined) {
      known[count] = latencyMs;
      count += 1;
    }
  }
  // A typed array sorts numbers without a comparison function.
  const sorted = known.subarray(0, count).sort();
  return sorted[Math.floor((count - 1) / 2)] ?? UNKNOWN_LATENCY_MS;
}

/** Computes the harmonic mean of the latencies, since a single slow VM gets few of the calls to its group. */
function computeGroupMs(group: readonly Candidate[], medianMs: number, nowMs: number): number {
  let rate = 0;
  for (let index = 0; index < group.length; index++) {
    rate += 1 / Math.max(0.01, group[index].statistics.computeLatencyMs(medianMs, nowMs));
  }
  return group.length / rate;
}

function computeScore({ statistics }: Candidate, medianMs: number, nowMs: number): number {
  const latencyMs = Math.max(0.01, statistics.computeLatencyMs(medianMs, nowMs));
  return (statistics.inFlight + 1) * latencyMs;
}
