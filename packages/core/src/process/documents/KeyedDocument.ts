import type { DocumentUpdate, PublishedItem } from './DocumentUpdate.js';
import type { SourcePosition } from './SourcePosition.js';

/** Maximum number of removed items that are remembered; beyond it, a peer that lags behind gets all items. */
const MAX_TOMBSTONES = 1_000;

/**
 * Items of a document by key, merged from updates in any order: for each item, the change with the highest revision of the
 * latest era counts. An era begins with an update of all items, which replaces those of the era before.
 * Removed items are remembered for a while, so that peers can be sent the changes since their revision instead of all
 * items.
 */
export class KeyedDocument {
  readonly #items = new Map<string, PublishedItem>();

  #era = 0;

  #revision = Number.NEGATIVE_INFINITY;

  /** Every change up to this revision is merged, and removals up to it are no longer remembered. */
  #floor = Number.NEGATIVE_INFINITY;

  /** Revision of the newest change; negative infinity before the first update. */
  get revision(): number {
    return this.#revision;
  }

  /** History of the source that the document follows. */
  get era(): number {
    return this.#era;
  }

  /** Number of items, removed ones not included. */
  get size(): number {
    return this.#listLive().length;
  }

  /**
   * Merges an update.
   * @param update - Changes, or all items.
   * @returns The changes that took effect; undefined when the update is older than this document or does not connect to
   * it.
   */
  apply(update: DocumentUpdate): readonly PublishedItem[] | undefined {
    const { era = 0, since } = update;
    if (era === this.#era) {
      return this.#merge(update);
    }
    return era > this.#era && since === undefined ? this.#beginEra(era, update) : undefined;
  }

  /**
   * Creates the update for a peer.
   * @param name - Name of the document.
   * @param held - Position of the peer's document; undefined when it has none.
   */
  createUpdate(name: string, held: SourcePosition | undefined): DocumentUpdate {
    const common = { name, ...(this.#era > 0 ? { era: this.#era } : {}), revision: this.#revision };
    if (held === undefined || held.era !== this.#era || held.revision < this.#floor) {
      return { ...common, items: this.#listLive() };
    }
    const items = [...this.#items.values()].filter(({ revision }) => revision > held.revision);
    return { ...common, since: held.revision, items };
  }

  #merge({ since, revision, asOf = revision, items }: DocumentUpdate): PublishedItem[] | undefined {
    const connects = since === undefined ? asOf >= this.#revision : since <= this.#revision;
    if (!connects) {
      return undefined;
    }
    const removals = since === undefined ? this.#findMissing(items, asOf) : [];
    const changes = [...items.filter((item) => this.#isNewer(item)), ...removals];
    changes.forEach((item) => this.#items.set(item.key, item));
    // Removals are dated with the time of the list, so peers learn of them only from that revision on.
    this.#revision = Math.max(this.#revision, removals.length > 0 ? asOf : revision);
    if (since === undefined) {
      this.#floor = Math.max(this.#floor, revision);
    }
    this.#dropTombstones();
    return changes;
  }

  /** Replaces all items, and returns the new ones and the removals of those that are missing. */
  #beginEra(era: number, { revision, asOf = revision, items }: DocumentUpdate): PublishedItem[] {
    const present = new Set(items.map(({ key }) => key));
    const missing = this.#listLive().filter(({ key }) => !present.has(key));
    this.#items.clear();
    items.forEach((item) => this.#items.set(item.key, item));
    this.#era = era;
    this.#revision = revision;
    this.#floor = revision;
    return [...items, ...missing.map(({ key }) => ({ key, revision: asOf }))];
  }

  #isNewer({ key, revision }: PublishedItem): boolean {
    const known = this.#items.get(key);
    return known === undefined ? revision > this.#floor : revision > known.revision;
  }

  /** Lists removals of the items that all items of the source at a revision do not include. */
  #findMissing(items: readonly PublishedItem[], asOf: number): readonly PublishedItem[] {
    const present = new Set(items.map(({ key }) => key));
    return this.#listLive()
      .filter(({ key, revision }) => revision <= asOf && !present.has(key))
      .map(({ key }) => ({ key, revision: asOf }));
  }

  #listLive(): readonly PublishedItem[] {
    return [...this.#items.values()].filter(({ value }) => value !== undefined);
  }

  #dropTombstones(): void {
    const tombstones = [...this.#items.values()].filter(({ value }) => value === undefined);
    if (tombstones.length <= MAX_TOMBSTONES) {
      return;
    }
    const ordered = tombstones.sort((left, right) => left.revision - right.revision);
    ordered.slice(0, -MAX_TOMBSTONES).forEach(({ key, revision }) => {
      this.#items.delete(key);
      this.#floor = Math.max(this.#floor, revision);
    });
  }
}
