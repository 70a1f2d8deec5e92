const PREFIX_LENGTH = 8;

const RADIX = 36;

/** Generates the ids of requests and leases. They name the incarnation of the node and increase with each id. */
export class LeaseIds {
  readonly #prefix: string;

  #count = 0;

  /** @param incarnation - Incarnation of the node, in hexadecimal. */
  constructor(incarnation: string) {
    this.#prefix = incarnation.slice(0, PREFIX_LENGTH);
  }

  /** Generates the next id. */
  mint(): string {
    this.#count += 1;
    return `${this.#prefix}.${this.#count.toString(RADIX)}`;
  }
}

/**
 * Returns whether an id was generated after another one by the same incarnation.
 * @param id - Id to check.
 * @param other - Id to compare with.
 */
export function isMintedAfter(id: string, other: string): boolean {
  const [prefix, count] = id.split('.');
  const [otherPrefix, otherCount] = other.split('.');
  return (
    prefix === otherPrefix &&
    Number.parseInt(count ?? '', RADIX) > Number.parseInt(otherCount ?? '', RADIX)
  );
}
