/** How a node admits calls to its backend server. */
export interface AdmissionPolicy {
  /** `adaptive` finds the number of slots that pays; `declared` trusts what the list or the bundle says. */
  readonly limit: 'adaptive' | 'declared';
  /**
   * `arrival`: calls of a workspace run in the order of arrival; `newest`: the newest runs first while a queue stands, so
   * that overload fails the calls that have waited longest instead of making all of them late.
   */
  readonly order: 'arrival' | 'newest';
  /** A call that waits long may stop running repeatable work of a lower class. */
  readonly isPreemptionEnabled: boolean;
}
