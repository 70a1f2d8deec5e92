/** What a node believed when it made a decision. The ages are read only when the line of the decision is written. */
export interface DecisionBasis {
  /** Version of the configuration under which the request began. */
  readonly configuration?: number;
  /** The list of VMs took part. */
  readonly list?: true;
  /** Workspace whose rate took part. */
  readonly rateOf?: string;
  /** Service whose load took part. */
  readonly loadOf?: string;
  /** VM whose link took part; its age is known to the host. */
  readonly linkTo?: string;
}
