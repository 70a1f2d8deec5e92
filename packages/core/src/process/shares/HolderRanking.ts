import * as membership from '../membership/index.js';

/**
 * Fraction of the lease time by which each rank waits longer before it takes over as the holder, so that the VM ranked
 * before it can request the shares first.
 */
const GRACE_PER_RANK = 0.25;

interface Ranking {
  readonly vms: readonly membership.VmRecord[];
  readonly ranked: readonly string[];
}

/**
 * Chooses the holder of each failure domain: the VM that borrows the shares of all VMs there and lends tokens from
 * them. VMs are ranked by rendezvous hashing; the first one that is live and not leaving is the holder.
 */
export class HolderRanking {
  readonly #self: membership.VmIdentity;

  readonly #membership: membership.Membership;

  readonly #rankings = new Map<string, Ranking>();

  /**
   * @param self - The VM that this node runs on.
   * @param view - The VMs of the fleet as this node knows them.
   */
  constructor(self: membership.VmIdentity, view: membership.Membership) {
    this.#self = self;
    this.#membership = view;
  }

  /**
   * Returns whether this node acts as the holder of its failure domain. The first VM in the ranking always does.
   * Another VM does if no holder has requested its share for longer than a lease, as in a network partition that the
   * list of VMs does not show.
   * @param unleasedMs - Time for which no holder has borrowed or requested the node's own share, in milliseconds.
   * @param leaseMs - Lease time of whole shares, in milliseconds.
   */
  isHolder(unleasedMs: number, leaseMs: number): boolean {
    const candidates = this.#rank(this.#self.failureDomain).filter(
      (name) => name === this.#self.name || !this.#membership.isLeaving(name),
    );
    const position = candidates.indexOf(this.#self.name);
    const rank = position < 0 ? candidates.length : position;
    return rank === 0 || unleasedMs > computeGraceMs(rank, leaseMs);
  }

  /**
   * Returns whether another VM is ranked before this one in this node's failure domain.
   * @param peer - Name of the other VM.
   */
  isOutrankedBy(peer: string): boolean {
    const ranked = this.#rank(this.#self.failureDomain);
    const own = ranked.indexOf(this.#self.name);
    const other = ranked.indexOf(peer);
    return other >= 0 && (own < 0 || other < own);
  }

  /** Lists the other VMs of this node's failure domain; its holder borrows their shares. */
  listOwners(): readonly string[] {
    return this.#rank(this.#self.failureDomain).filter((name) => name !== this.#self.name);
  }

  /**
   * Lists the holders of all failure domains except this node itself. If a holder does not respond, the next VM in the
   * ranking is listed instead.
   * @param isUnresponsive - Returns whether a VM recently failed to answer.
   */
  listOtherHolders(isUnresponsive: (vm: string) => boolean): readonly string[] {
    return this.#membership
      .listFailureDomains()
      .flatMap(
        (domain) =>
          this.#rank(domain).find(
            (name) => !this.#membership.isLeaving(name) && !isUnresponsive(name),
          ) ?? [],
      )
      .filter((name) => name !== this.#self.name);
  }

  #rank(domain: string): readonly string[] {
    const vms = this.#membership.findByFailureDomain(domain);
    const known = this.#rankings.get(domain);
    // `Membership` creates new arrays for each new list of VMs, so an unchanged array needs no new ranking.
    if (known?.vms === vms) {
      return known.ranked;
    }
    const names = vms.map((vm) => vm.name);
    const ranked = membership.listByRendezvous(`shares/${domain}`, names);
    this.#rankings.set(domain, { vms, ranked });
    return ranked;
  }
}

function computeGraceMs(rank: number, leaseMs: number): number {
  return leaseMs * (1 + rank * GRACE_PER_RANK);
}
