/** Load of a VM as reported by its last answer or refusal; it may be out of date. */
export interface LoadHint {
  readonly inFlight: number;
  readonly queued: number;
  readonly limit: number;
  /** Rate limit of the backend server in calls a second; 0 if none. */
  readonly rateLimit: number;
}

/**
 * How an attempt at a VM ended for the sending node. `refused`: the VM refused it without running it; `failed`: an
 * error answer, a broken link or a crash; `cancelled`: the sender cancelled it.
 */
export interface RoutingOutcome {
  readonly kind: 'answered' | 'refused' | 'failed' | 'cancelled';
  /** Time from sending the attempt to its end, in milliseconds. */
  readonly latencyMs?: number;
  readonly load?: LoadHint;
}
