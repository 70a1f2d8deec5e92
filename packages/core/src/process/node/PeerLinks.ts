/** Peers that this node has a stream with, and their incarnations; separate for streams opened by either side. */
export class PeerLinks {
  readonly #outbound = new Map<string, string>();

  readonly #inbound = new Map<string, string>();

  /**
   * Records that a stream is open.
   * @param peer - VM at the other end.
   * @param incarnation - Incarnation at the other end.
   * @param inbound - True if the peer opened the stream.
   */
  recordUp(peer: string, incarnation: string, inbound: boolean): void {
    this.#select(inbound).set(peer, incarnation);
  }

  /**
   * Records that a stream has closed. This has no effect if a stream of another incarnation has replaced it.
   * @param peer - VM at the other end.
   * @param incarnation - Incarnation at the other end.
   * @param inbound - True if the peer opened the stream.
   */
  recordDown(peer: string, incarnation: string, inbound: boolean): void {
    const streams = this.#select(inbound);
    if (streams.get(peer) === incarnation) {
      streams.delete(peer);
    }
  }

  /**
   * Finds the incarnation of a peer on the stream that this node opened.
   * @param peer - VM at the other end.
   */
  findIncarnation(peer: string): string | undefined {
    return this.#outbound.get(peer);
  }

  /** Lists the peers to which this node opened a stream. */
  listOutbound(): readonly string[] {
    return [...this.#outbound.keys()];
  }

  /** Lists the peers that opened a stream to this node. */
  listInbound(): readonly string[] {
    return [...this.#inbound.keys()];
  }

  #select(inbound: boolean): Map<string, string> {
    return inbound ? this.#inbound : this.#outbound;
  }
}
