/** What a call hands on to its whole subtree. */
export interface CallContext {
  /** Id of the caller's request at the root of the tree; appears in every log line of the tree. */
  readonly rootId: string;
  readonly workspace: string;
  /** Route name, `service.name`. */
  readonly route: string;
  /** Priority class of the root request, 0 (highest) to 3. */
  readonly priority: number;
  /** Deadline on this node's monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  /** Extra attempts that the call and its subtree may spend. */
  readonly allowance: number;
  /** 1 for a caller's request. */
  readonly depth: number;
  readonly bundleVersion: number;
  /** Service of the VM at which the call began. */
  readonly originService: string;
}
