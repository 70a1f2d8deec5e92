const PREFIX_LENGTH = 8;

const RADIX = 36;

/** Mints ids that are unique to one incarnation of a VM and ordered within it. */
export class LeaseIds {
  readonly #prefix: string;

  #count = 0;

  /** @param incarnation - Incarnation of the node, in hexadecimal. */
  constructor(incarnation: string) {
    this.#prefix = incarnation.slice(0, PREFIX_LENGTH);
  }

  /** Mints the next id. */
  mint(): string {
    this.#count += 1;
    return `${this.#prefix}.${this.#count.toString(RADIX)}`;
  }
}

/**
 * Tells whether an id was minted after another one by the same incarnation.
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
