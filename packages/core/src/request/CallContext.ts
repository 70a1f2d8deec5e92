/** Context that a call passes to its whole subtree. */
export interface CallContext {
  /** Id of the caller's request at the root of the tree; appears in every log line of the tree. */
  readonly rootId: string;
  readonly workspace: string;
  /** Route name, `service.name`. */
  readonly route: string;
  /**
   * Priority class, 0 (highest) to 3. A child call gets the higher one of its parent's class and the priority of its
   * own route.
   */
  readonly priority: number;
  /** Deadline on this node's monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  /** Extra attempts that were granted to the call and its subtree. */
  readonly allowance: number;
  /** 1 for a caller's request. */
  readonly depth: number;
  readonly bundleVersion: number;
  /** Service of the VM that started the call. */
  readonly originService: string;
}
