/** Token pool of a node, for the state dump. */
export interface PoolSnapshot {
  /** Fraction of every rate and burst that the pool has, including subleased capacity. */
  readonly fraction: number;
  readonly shares: number;
  readonly workspaces: Readonly<Record<string, { level: number; lentFraction: number }>>;
}

/** The node's own share, for the state dump. */
export interface OwnSnapshot {
  readonly fraction: number;
  readonly ready: boolean;
  readonly lentTo: string | null;
  readonly lentForMs: number;
}

/** Demand for one workspace at a node, for the state dump. */
export interface DemandSnapshot {
  readonly waiting: number;
  readonly callsPerSecond: number;
  readonly parts: number;
  /** Fraction of the burst that is borrowed. */
  readonly borrowedFraction: number;
  readonly tokens: number;
}

/** Fraction of a rate that a node can grant from, and the age of this data, for log lines. */
export interface ShareDescription extends Readonly<Record<string, number | undefined>> {
  /** Fraction of every rate and burst that the pool of the node has. */
  readonly shareFraction: number;
  /** Time since a share in the pool last changed or was renewed. */
  readonly shareAgeMs: number | undefined;
  /** Time since a holder last reported how many tokens it has left. */
  readonly holderAgeMs: number | undefined;
}

/** State of the rate limiter for the state dump, with at most 64 workspaces. */
export interface ShareSnapshot {
  /** The node acts as the holder of its failure domain. */
  readonly holder: boolean;
  readonly own: OwnSnapshot;
  readonly borrowedShares: number;
  readonly subleases: number;
  readonly tokenRequests: number;
  readonly pool: PoolSnapshot;
  readonly demand: Readonly<Record<string, DemandSnapshot>>;
}
