/**
 * Data that a decision was based on. The ages of the data are measured only when the log line of the decision is
 * written.
 */
export interface DecisionBasis {
  /** Version of the configuration under which the request began. */
  readonly configuration?: number;
  /** Set if the list of VMs was used. */
  readonly usesVmList?: true;
  /** Workspace whose rate was used. */
  readonly rateWorkspace?: string;
  /** Service whose load was used. */
  readonly loadService?: string;
  /** VM whose link was used; the host knows the age of the link. */
  readonly linkVm?: string;
}
