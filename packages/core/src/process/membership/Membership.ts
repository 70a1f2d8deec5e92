import * as bounds from '../bounds/index.js';
import { listByRendezvous } from './listByRendezvous.js';
import type { VmIdentity, VmRecord } from './VmRecord.js';

/** Maximum number of VMs of one service that a node sends calls to, so that the number of its links stays bounded. */
const CANDIDATES_PER_SERVICE = 16;

/** Maximum number of VMs whose leaving backend server is remembered. */
const MAX_LEAVING_BACKENDS = 4_096;

/** Maximum number of VMs in a snapshot. */
const SNAPSHOT_VMS = 64;

/**
 * The VMs of the fleet as a node knows them: from the platform's list, which lags, and from the announcements of the
 * VMs on their links, which take precedence.
 */
export class Membership {
  readonly #self: VmIdentity;

  #vms: ReadonlyMap<string, VmRecord> = new Map();

  #byService: ReadonlyMap<string, readonly VmRecord[]> = new Map();

  #byDomain: ReadonlyMap<string, readonly VmRecord[]> = new Map();

  /** Incarnation that announced that it is leaving, by VM. */
  readonly #leaving = new Map<string, string>();

  /** Start of the backend server that announced that it is leaving, by VM. It outlives the process of the VM's node. */
  readonly #leavingBackends = new Map<string, string>();

  /** Cached results of `findCandidates`. */
  readonly #candidates = new Map<string, readonly VmRecord[]>();

  /** Time of the last read or confirmation of the list. */
  #readMs: number | undefined;

  /** @param self - The VM that this node runs on. */
  constructor(self: VmIdentity) {
    this.#self = self;
  }

  /**
   * Replaces the list of VMs. VMs that are no longer listed lose their mark as leaving; a leaving backend server stays
   * marked until the list names another start of it.
   * @param vms - Live and leaving VMs.
   * @param nowMs - Monotonic time, in milliseconds; undefined if the list was derived from the last one that was read,
   * whose age it keeps.
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
    this.#leavingBackends.forEach((incarnation, name) => {
      const listed = this.#vms.get(name)?.backendIncarnation;
      if (listed !== undefined && listed !== incarnation) {
        this.#leavingBackends.delete(name);
      }
    });
    this.#candidates.clear();
  }

  /**
   * Records that the platform confirmed that its list is unchanged.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordListConfirmed(nowMs: number): void {
    this.#readMs = nowMs;
  }

  /**
   * Measures the time since the list was last read or confirmed, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Undefined before the first list was read.
   */
  measureListAge(nowMs: number): number | undefined {
    return this.#readMs === undefined ? undefined : nowMs - this.#readMs;
  }

  /**
   * Records the incarnation of a peer on a new link. A new incarnation clears the mark as leaving of the previous one.
   * @param vm - Name of the peer.
   * @param incarnation - Incarnation in the `Hello` of the peer.
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
   * @param incarnation - Incarnation that is leaving.
   */
  markLeaving(vm: string, incarnation: string): void {
    this.#leaving.set(vm, incarnation);
    this.#candidates.clear();
  }

  /**
   * Records that the backend server of a VM is leaving. It is identified by the list; without an identity, only the
   * announcement of its node counts.
   * @param vm - Name of the VM.
   */
  markBackendLeaving(vm: string): void {
    const incarnation = this.#vms.get(vm)?.backendIncarnation;
    if (incarnation !== undefined) {
      bounds.setWithLimit(this.#leavingBackends, vm, incarnation, MAX_LEAVING_BACKENDS);
      this.#candidates.clear();
    }
  }

  /**
   * Records that the link to a process was lost. A process that was leaving has then ended, so its mark as leaving is
   * cleared; otherwise this node would never connect to the process that replaces it.
   * @param vm - Name of the peer.
   * @param incarnation - Incarnation at the other end of the link.
   */
  recordLinkLost(vm: string, incarnation: string): void {
    if (this.#leaving.get(vm) === incarnation) {
      this.#leaving.delete(vm);
      this.#candidates.clear();
    }
  }

  /**
   * Records that a VM that had announced that it is leaving accepts calls again, after a restart of its backend server.
   * @param vm - Name of the peer.
   */
  clearLeaving(vm: string): void {
    this.#leaving.delete(vm);
    this.#leavingBackends.delete(vm);
    this.#candidates.clear();
  }

  /** Lists the names of the listed VMs, including leaving ones. */
  listNames(): readonly string[] {
    return [...this.#vms.keys()];
  }

  /** Number of listed VMs, including leaving ones. */
  get size(): number {
    return this.#vms.size;
  }

  /**
   * Finds a VM in the list.
   * @param vm - Name of the VM.
   */
  find(vm: string): VmRecord | undefined {
    return this.#vms.get(vm);
  }

  /**
   * Returns whether a VM is leaving, according to the list or to the VM itself.
   * @param vm - Name of the VM.
   */
  isLeaving(vm: string): boolean {
    return this.#hasAnnouncedLeaving(vm) || this.#vms.get(vm)?.state === 'leaving';
  }

  /**
   * Finds the VMs to which this node sends calls of a service: those that are live and not leaving. If there are more
   * than 16, a subset that rendezvous hashing chooses for this node and that stays stable when the list changes.
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
   * Finds all VMs of a service that are live in the list.
   * @param service - Name of the service.
   */
  findByService(service: string): readonly VmRecord[] {
    return this.#byService.get(service) ?? [];
  }

  /**
   * Finds all VMs of a failure domain that are live in the list.
   * @param failureDomain - Name of the failure domain.
   */
  findByFailureDomain(failureDomain: string): readonly VmRecord[] {
    return this.#byDomain.get(failureDomain) ?? [];
  }

  /** Lists the failure domains that have a live VM. */
  listFailureDomains(): readonly string[] {
    return [...this.#byDomain.keys()];
  }

  /** Returns the membership for the state dump, with at most 64 VMs; those of this node's service come first. */
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
      leavingBackends: [...this.#leavingBackends.keys()].slice(0, SNAPSHOT_VMS),
    };
  }

  #hasAnnouncedLeaving(vm: string): boolean {
    return this.#leaving.has(vm) || this.#leavingBackends.has(vm);
  }

  #selectCandidates(service: string): readonly VmRecord[] {
    const usable = this.findByService(service).filter((vm) => !this.#hasAnnouncedLeaving(vm.name));
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
