import { listByRendezvous } from './listByRendezvous.js';
import type { VmIdentity, VmRecord } from './VmRecord.js';

/** A node calls at most this many instances of one service, so that its links stay bounded in a large fleet. */
const CANDIDATES_PER_SERVICE = 16;

/** VMs shown in a snapshot. */
const SNAPSHOT_VMS = 64;

/**
 * What a node believes about the VMs of the fleet: the platform's list, which lags, and what VMs say of themselves
 * on their links, which goes first.
 */
export class Membership {
  readonly #self: VmIdentity;

  #vms: ReadonlyMap<string, VmRecord> = new Map();

  #byService: ReadonlyMap<string, readonly VmRecord[]> = new Map();

  #byDomain: ReadonlyMap<string, readonly VmRecord[]> = new Map();

  readonly #leaving = new Map<string, string>();

  readonly #candidates = new Map<string, readonly VmRecord[]>();

  /** Time of the last read or confirmation of the list. */
  #readMs: number | undefined;

  /** @param self - The VM that this node runs on. */
  constructor(self: VmIdentity) {
    this.#self = self;
  }

  /**
   * Takes a new list of the platform.
   * @param vms - Live and leaving VMs.
   * @param nowMs - Monotonic time, in milliseconds; undefined when the list was worked out from what was read before.
   */
  replaceList(vms: readonly VmRecord[], nowMs: number | undefined): void {
    const live = vms.filter((vm) => vm.state === 'live');
    this.#vms = new Map(vms.map((vm) => [vm.name, vm]));
    this.#byService = groupBy(live, (vm) => vm.service);
    this.#byDomain = groupBy(live, (vm) => vm.failureDomain);
    this.#readMs = nowMs ?? this.#readMs;
    [...this.#leaving.keys()]
      .filter((name) => !this.#vms.has(name))
      .forEach((name) => this.#leaving.delete(name));
    this.#candidates.clear();
  }

  /**
   * Records that the platform's list has not changed.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordListConfirmed(nowMs: number): void {
    this.#readMs = nowMs;
  }

  /**
   * Measures the time since the list was last read or confirmed, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Undefined before the first list.
   */
  measureListAge(nowMs: number): number | undefined {
    return this.#readMs === undefined ? undefined : nowMs - this.#readMs;
  }

  /**
   * Records who answered on a link. A new incarnation clears the leaving mark of its predecessor.
   * @param vm - Name of the peer.
   * @param incarnation - Incarnation in its `Hello`.
   */
  recordHello(vm: string, incarnation: string): void {
    const leaving = this.#leaving.get(vm);
    if (leaving === undefined || leaving === incarnation) {
      return;
    }
    this.#leaving.delete(vm);
    this.#candidates.clear();
  }

  /**
   * Records that a VM announced that it is leaving.
   * @param vm - Name of the peer.
   * @param incarnation - Incarnation that leaves.
   */
  markLeaving(vm: string, incarnation: string): void {
    this.#leaving.set(vm, incarnation);
    this.#candidates.clear();
  }

  /**
   * Records that the link to a process broke. One that was leaving is gone then, so its mark must not keep this node from
   * dialling the process that takes its place.
   * @param vm - Name of the peer.
   * @param incarnation - Incarnation at the other end of the link.
   */
  recordLinkLost(vm: string, incarnation: string): void {
    if (this.#leaving.get(vm) === incarnation) {
      this.clearLeaving(vm);
    }
  }

  /**
   * Records that a VM that announced its leaving takes work again, after a restart of its backend server.
   * @param vm - Name of the peer.
   */
  clearLeaving(vm: string): void {
    this.#leaving.delete(vm);
    this.#candidates.clear();
  }

  /** Names of the listed VMs, leaving ones included. */
  listNames(): readonly string[] {
    return [...this.#vms.keys()];
  }

  /** Number of listed VMs, leaving ones included. */
  get size(): number {
    return this.#vms.size;
  }

  /**
   * Finds a VM of the list.
   * @param vm - Name of the VM.
   */
  find(vm: string): VmRecord | undefined {
    return this.#vms.get(vm);
  }

  /**
   * Tells whether the list or the VM itself says that it is leaving.
   * @param vm - Name of the VM.
   */
  isLeaving(vm: string): boolean {
    return this.#leaving.has(vm) || this.#vms.get(vm)?.state === 'leaving';
  }

  /**
   * Finds the VMs to which this node sends calls of a service: live, not leaving, a stable subset of 16.
   * @param service - Name of the service.
   */
  findCandidates(service: string): readonly VmRecord[] {
    const known = this.#candidates.get(service);
    if (known !== undefined) {
      return known;
    }
    const candidates = this.#selectCandidates(service);
    this.#candidates.set(service, candidates);
    return candidates;
  }

  /**
   * Finds every live VM of a service.
   * @param service - Name of the service.
   */
  findByService(service: string): readonly VmRecord[] {
    return this.#byService.get(service) ?? [];
  }

  /**
   * Finds every live VM of a failure domain.
   * @param failureDomain - Name of the failure domain.
   */
  findByFailureDomain(failureDomain: string): readonly VmRecord[] {
    return this.#byDomain.get(failureDomain) ?? [];
  }

  /** Lists the failure domains that have a live VM. */
  listFailureDomains(): readonly string[] {
    return [...this.#byDomain.keys()];
  }

  /** Shows the membership for the state dump; at most 64 VMs, the own service first. */
  snapshot(nowMs: number): object {
    const own = [...this.#vms.values()].sort(
      (left, right) =>
        Number(right.service === this.#self.service) - Number(left.service === this.#self.service),
    );
    return {
      listAgeMs: this.measureListAge(nowMs) ?? null,
      count: this.#vms.size,
      vms: own.slice(0, SNAPSHOT_VMS),
      announcedLeaving: [...this.#leaving.keys()].slice(0, SNAPSHOT_VMS),
    };
  }

  #selectCandidates(service: string): readonly VmRecord[] {
    const usable = this.findByService(service).filter((vm) => !this.#leaving.has(vm.name));
    if (usable.length <= CANDIDATES_PER_SERVICE) {
      return usable;
    }
    const byName = new Map(usable.map((vm) => [vm.name, vm]));
    const ranked = listByRendezvous(`${this.#self.name}/${service}`, [...byName.keys()]);
    return ranked.slice(0, CANDIDATES_PER_SERVICE).flatMap((name) => byName.get(name) ?? []);
  }
}

function groupBy(
  vms: readonly VmRecord[],
  pick: (vm: VmRecord) => string,
): ReadonlyMap<string, readonly VmRecord[]> {
  const groups = new Map<string, VmRecord[]>();
  vms.forEach((vm) => {
    const group = groups.get(pick(vm)) ?? [];
    group.push(vm);
    groups.set(pick(vm), group);
  });
  return groups;
}
