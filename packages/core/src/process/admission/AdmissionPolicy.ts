/** How a node admits calls to its backend server. */
export interface AdmissionPolicy {
  /**
   * `adaptive` adjusts the concurrency limit to the measured latency; `declared` uses the number of slots from the VM
   * list or the bundle.
   */
  readonly limit: 'adaptive' | 'declared';
  /**
   * `arrival`: calls of a workspace run in the order of arrival; `newest`: the newest call runs first while there is a
   * standing queue, so that under overload the oldest calls fail instead of every call being late.
   */
  readonly order: 'arrival' | 'newest';
  /** A call that has waited long may have a running repeatable call of a less important class cancelled. */
  readonly isPreemptionEnabled: boolean;
}
