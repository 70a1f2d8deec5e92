/** Peers with a stream, and the incarnation at the other end, by who opened the stream. */
export class PeerLinks {
  readonly #outbound = new Map<string, string>();

  readonly #inbound = new Map<string, string>();

  /**
   * Records that a stream is up.
   * @param peer - VM at the other end.
   * @param incarnation - Incarnation at the other end.
   * @param inbound - The peer opened the stream.
   */
  recordUp(peer: string, incarnation: string, inbound: boolean): void {
    this.#select(inbound).set(peer, incarnation);
  }

  /**
   * Records that a stream is down. A stream that was replaced before does not count.
   * @param peer - VM at the other end.
   * @param incarnation - Incarnation at the other end.
   * @param inbound - The peer opened the stream.
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

  /** Lists the peers of the streams that this node opened. */
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
