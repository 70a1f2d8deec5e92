/** How a node tells requests that crash backend servers from those that only ran beside them. */
export interface SuspectPolicy {
  /**
   * What counts as a crash: `broken`: a connection that breaks during a run; `refused`: only when the backend server
   * refuses connections right after, which tells a crash from a lost answer.
   */
  readonly crashEvidence: 'broken' | 'refused';
  /** Crashes after which a fingerprint is blocked. */
  readonly crashLimit: number;
  /** Suspects run one at a time, alone on a backend server. */
  readonly isIsolating: boolean;
}

/** Fewest crashes, for backend servers whose connections break only when they die. */
export const ISOLATING_POLICY: SuspectPolicy = {
  crashEvidence: 'broken',
  crashLimit: 2,
  isIsolating: true,
};

/**
 * For backend servers that lose answers. Nothing waits for a suspect: many requests run beside the one that crashes, and
 * running each of them alone would stop the service.
 */
export const COUNTING_POLICY: SuspectPolicy = {
  crashEvidence: 'refused',
  crashLimit: 3,
  isIsolating: false,
};
