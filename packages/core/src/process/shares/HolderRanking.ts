import * as membership from '../membership/index.js';

/** Each place in the ranking waits this part of the lease longer, so that the one before it can ask first. */
const GRACE_OF_LEASE = 0.25;

interface Ranking {
  readonly vms: readonly membership.VmRecord[];
  readonly ranked: readonly string[];
}

/** Chooses the holder of each failure domain by rendezvous hashing over the VMs that are live and not leaving. */
export class HolderRanking {
  readonly #self: membership.VmIdentity;

  readonly #membership: membership.Membership;

  readonly #rankings = new Map<string, Ranking>();

  /**
   * @param self - The VM that this node runs on.
   * @param view - What the node believes about the fleet.
   */
  constructor(self: membership.VmIdentity, view: membership.Membership) {
    this.#self = self;
    this.#membership = view;
  }

  /**
   * Tells whether this node acts as the holder of its failure domain. The first in the ranking always does; another one
   * does when nobody before it asked for its share in time, as in a partition that the list does not show.
   * @param freeMs - Time for which the node's own share has not been lent, in milliseconds.
   * @param leaseMs - Lease time of whole shares, in milliseconds.
   */
  isHolder(freeMs: number, leaseMs: number): boolean {
    const present = this.#rank(this.#self.failureDomain).filter(
      (name) => name === this.#self.name || !this.#membership.isLeaving(name),
    );
    const position = present.indexOf(this.#self.name);
    const others = position < 0 ? present.length : position;
    return others === 0 || freeMs > computeGraceMs(others, leaseMs);
  }

  /**
   * Tells whether another VM comes before this one in the ranking of the failure domain.
   * @param peer - Name of the other VM.
   */
  isOutrankedBy(peer: string): boolean {
    const ranked = this.#rank(this.#self.failureDomain);
    const own = ranked.indexOf(this.#self.name);
    const other = ranked.indexOf(peer);
    return other >= 0 && (own < 0 || other < own);
  }

  /** Lists the other VMs of the node's failure domain, whose shares its holder borrows. */
  listOwners(): readonly string[] {
    return this.#rank(this.#self.failureDomain).filter((name) => name !== this.#self.name);
  }

  /**
   * Lists the holders of all failure domains but this node itself; the next in the ranking stands for a silent one.
   * @param isSilent - Tells whether a VM did not answer lately.
   */
  listOtherHolders(isSilent: (vm: string) => boolean): readonly string[] {
    return this.#membership
      .listFailureDomains()
      .flatMap(
        (domain) =>
          this.#rank(domain).find((name) => !this.#membership.isLeaving(name) && !isSilent(name)) ??
          [],
      )
      .filter((name) => name !== this.#self.name);
  }

  #rank(domain: string): readonly string[] {
    const vms = this.#membership.findByFailureDomain(domain);
    const known = this.#rankings.get(domain);
    // The membership builds new arrays for a new list, so one list is ranked once.
    if (known?.vms === vms) {
      return known.ranked;
    }
    const names = vms.map((vm) => vm.name);
    const ranked = membership.listByRendezvous(`shares/${domain}`, names);
    this.#rankings.set(domain, { vms, ranked });
    return ranked;
  }
}

function computeGraceMs(position: number, leaseMs: number): number {
  return leaseMs * (1 + position * GRACE_OF_LEASE);
}
