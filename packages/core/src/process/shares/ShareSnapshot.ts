/** Tokens of the pool of a node, by workspace. */
export interface PoolSnapshot {
  /** Part of every rate and burst that the node has as a whole, subleases included. */
  readonly fraction: number;
  readonly shares: number;
  readonly workspaces: Readonly<Record<string, { level: number; lentFraction: number }>>;
}

/** The node's own share. */
export interface OwnSnapshot {
  readonly fraction: number;
  readonly ready: boolean;
  readonly lentTo: string | null;
  readonly lentForMs: number;
}

/** Demand for one workspace at a node. */
export interface DemandSnapshot {
  readonly waiting: number;
  readonly callsPerSecond: number;
  readonly parts: number;
  /** Fraction of the burst that is borrowed. */
  readonly borrowedFraction: number;
  readonly tokens: number;
}

/** Part of a rate that a node decides with, for log lines. */
export interface ShareDescription extends Readonly<Record<string, number | undefined>> {
  /** Part of every rate and burst that the node has as a whole. */
  readonly shareFraction: number;
  readonly shareAgeMs: number | undefined;
  readonly holderAgeMs: number | undefined;
}

/** State of a share ledger for the state dump; at most 64 workspaces. */
export interface ShareSnapshot {
  readonly holder: boolean;
  readonly own: OwnSnapshot;
  readonly borrowedShares: number;
  readonly subleases: number;
  readonly tokenRequests: number;
  readonly pool: PoolSnapshot;
  readonly demand: Readonly<Record<string, DemandSnapshot>>;
}
