/** How a node distinguishes requests that crash backend servers from those that ran at the same time. */
export interface SuspectPolicy {
  /**
   * What counts as a crash. `broken`: a connection that breaks during a run; `refused`: only if the backend server also
   * refuses connections right afterwards, which distinguishes a crash from a lost answer.
   */
  readonly crashEvidence: 'broken' | 'refused';
  /** Crashes after which a fingerprint is blocked. */
  readonly crashLimit: number;
  /** Whether a suspect runs alone on a backend server. */
  readonly isIsolating: boolean;
}

/** Blocks after the fewest crashes; for backend servers whose connections break only when they crash. */
export const ISOLATING_POLICY: SuspectPolicy = {
  crashEvidence: 'broken',
  crashLimit: 2,
  isIsolating: true,
};

/**
 * For backend servers that lose answers. Suspects don't run alone: many requests run at the same time as the one that
 * crashes the backend server, and running each of them alone would stop the service.
 */
export const COUNTING_POLICY: SuspectPolicy = {
  crashEvidence: 'refused',
  crashLimit: 3,
  isIsolating: false,
};
