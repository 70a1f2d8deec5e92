import { relay } from '@tanagerpond/testkit';

/** Relays between VMs, one for every ordered pair, so that single links can be cut. */
export class LinkTable {
  readonly #relays = new Map<string, Map<string, relay.LinkRelay>>();

  #addresses: Record<string, Record<string, string>> = {};

  /** Relay address at which each VM (first key) reaches each other VM (second key). */
  get addresses(): Readonly<Record<string, Readonly<Record<string, string>>>> {
    return this.#addresses;
  }

  /**
   * Opens a relay for every ordered pair of VMs.
   * @param peers - Address of the peer listener by VM.
   */
  async open(peers: ReadonlyMap<string, string>): Promise<void> {
    const names = [...peers.keys()];
    await Promise.all(
      names.flatMap((source) => {
        this.#relays.set(source, new Map());
        this.#addresses[source] = {};
        return names
          .filter((target) => target !== source)
          .map((target) => this.#openOne(source, target, peers.get(target)!));
      }),
    );
  }

  /** Cuts or restores the links between two sets of VMs, in both directions. */
  setState(left: readonly string[], right: readonly string[], state: relay.LinkState): void {
    left.forEach((source) => {
      right.forEach((target) => {
        this.#relays.get(source)?.get(target)?.setState(state);
        this.#relays.get(target)?.get(source)?.setState(state);
      });
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const relays = [...this.#relays.values()].flatMap((targets) => [...targets.values()]);
    await Promise.all(relays.map((each) => each[Symbol.asyncDispose]()));
  }

  async #openOne(source: string, target: string, address: string): Promise<void> {
    const opened = new relay.LinkRelay(address);
    this.#relays.get(source)!.set(target, opened);
    this.#addresses[source][target] = await opened.open();
  }
}
