import type { Membership, VmIdentity } from '../../process/membership/index.js';
import type { RandomSource } from '../../process/time/index.js';

/**
 * Random draws per wanted peer. There are several because a draw may give the own VM, a leaving VM or one that was
 * already chosen.
 */
const DRAWS_PER_PEER = 4;

/** Chooses random peers, without building a list of the whole fleet. */
export class PeerChooser {
  readonly #self: VmIdentity;

  readonly #membership: Membership;

  readonly #random: RandomSource;

  /** @param options - Own VM, list of VMs and random source. */
  constructor(options: { self: VmIdentity; membership: Membership; random: RandomSource }) {
    this.#self = options.self;
    this.#membership = options.membership;
    this.#random = options.random;
  }

  /**
   * Chooses peers of the whole fleet, each VM with the same probability. May return fewer than `count`.
   * @param count - Maximum number of peers.
   * @param excluded - Name of a VM that is not chosen.
   */
  choose(count: number, excluded?: string): readonly string[] {
    const domains = this.#membership.listFailureDomains();
    return this.#draw(domains, count, excluded);
  }

  /**
   * Chooses peers of the own failure domain and of other failure domains, which are chosen at random.
   * @param domains - Maximum number of failure domains, including the own one.
   * @param perDomain - Maximum number of peers of each failure domain.
   */
  chooseAcrossDomains(domains: number, perDomain: number): readonly string[] {
    const others = this.#membership
      .listFailureDomains()
      .filter((domain) => domain !== this.#self.failureDomain)
      .map((domain) => ({ domain, order: this.#random.next() }))
      .sort((left, right) => left.order - right.order)
      .map(({ domain }) => domain);
    return [this.#self.failureDomain, ...others]
      .slice(0, domains)
      .flatMap((domain) => this.#draw([domain], perDomain));
  }

  #draw(domains: readonly string[], count: number, excluded?: string): readonly string[] {
    const groups = domains.map((domain) => this.#membership.findByFailureDomain(domain));
    const total = groups.reduce((sum, group) => sum + group.length, 0);
    const chosen = new Set<string>();
    for (let draw = 0; draw < count * DRAWS_PER_PEER && chosen.size < count; draw++) {
      let index = Math.floor(this.#random.next() * total);
      const group = groups.find((candidates) => {
        const found = index < candidates.length;
        index -= found ? 0 : candidates.length;
        return found;
      });
      const name = group?.[index]?.name;
      const usable = name !== undefined && name !== this.#self.name && name !== excluded;
      if (usable && !this.#membership.isLeaving(name)) {
        chosen.add(name);
      }
    }
    return [...chosen];
  }
}
