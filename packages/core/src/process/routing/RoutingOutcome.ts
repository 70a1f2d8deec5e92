/** Load of a VM as its last answer or refusal told it; a hint only. */
export interface LoadHint {
  readonly inFlight: number;
  readonly queued: number;
  readonly limit: number;
}

/**
 * How an attempt at a VM ended, as the sending node saw it. `refused`: not run; `failed`: an error answer, a broken
 * link or a crash; `cancelled`: given up by the sender.
 */
export interface RoutingOutcome {
  readonly kind: 'answered' | 'refused' | 'failed' | 'cancelled';
  /** Time from the sending to the end, in milliseconds. */
  readonly latencyMs?: number;
  readonly load?: LoadHint;
}
