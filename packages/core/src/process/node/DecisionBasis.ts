/**
 * Data that a decision was based on. The ages of the data are measured only when the log line of the decision is
 * written.
 */
export interface DecisionBasis {
  /** Version of the configuration under which the request began. */
  readonly configuration?: number;
  /** Set if the list of VMs was used. */
  readonly list?: true;
  /** Workspace whose rate was used. */
  readonly rateOf?: string;
  /** Service whose load was used. */
  readonly loadOf?: string;
  /** VM whose link was used; the host knows the age of the link. */
  readonly linkTo?: string;
}
