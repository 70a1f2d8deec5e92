import * as membership from '../membership/index.js';

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

  /** Tells whether this node is the holder of its failure domain. */
  isHolder(): boolean {
    const holder = this.#findHolder(this.#self.failureDomain);
    return holder === undefined || holder === this.#self.name;
  }

  /** Lists the other VMs of the node's failure domain, whose shares its holder borrows. */
  listOwners(): readonly string[] {
    return this.#rank(this.#self.failureDomain).filter((name) => name !== this.#self.name);
  }

  /** Lists the holders of all failure domains but this node itself. */
  listOtherHolders(): readonly string[] {
    return this.#membership
      .listFailureDomains()
      .flatMap((domain) => this.#findHolder(domain) ?? [])
      .filter((name) => name !== this.#self.name);
  }

  #findHolder(domain: string): string | undefined {
    return this.#rank(domain).find((name) => !this.#membership.isLeaving(name));
  }

  #rank(domain: string): readonly string[] {
    const vms = this.#membership.findInDomain(domain);
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
