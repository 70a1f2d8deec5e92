/** How a node admits calls to its backend server. */
export interface AdmissionPolicy {
  /** `adaptive` finds the number of slots that pays; `declared` trusts what the list or the bundle says. */
  readonly limit: 'adaptive' | 'declared';
  /** A call that waits long may stop running repeatable work of a lower class. */
  readonly preempts: boolean;
}
