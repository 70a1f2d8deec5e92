import type { Bundle } from '@tanagerpond/bundle';
import type { AdmissionQueue } from '../admission/index.js';
import type { Membership, VmIdentity } from '../membership/index.js';
import type { DeduplicationTable, TicketIssuer } from '../deduplication/index.js';
import type { BackpressureTable } from '../backpressure/index.js';
import type { RetryBudget, Router } from '../routing/index.js';
import type { RateLimiter } from '../shares/index.js';
import type { SuspectTable } from '../suspects/index.js';
import type { RandomSource } from '../time/index.js';
import type { CallTrees } from '../trees/index.js';
import type { Counters } from './Counters.js';
import type { Outbox } from './Outbox.js';

/** Decision modules of one process, and the state that they share. */
export interface NodeServices {
  readonly self: VmIdentity;
  readonly random: RandomSource;
  readonly membership: Membership;
  readonly router: Router;
  readonly retryBudget: RetryBudget;
  readonly backpressure: BackpressureTable;
  readonly rateLimiter: RateLimiter;
  readonly admission: AdmissionQueue;
  readonly suspects: SuspectTable;
  readonly deduplication: DeduplicationTable;
  readonly tickets: TicketIssuer;
  /** Absent if requests are shed by the pressure levels of single services only. */
  readonly callTrees?: CallTrees;
  readonly outbox: Outbox;
  readonly counters: Counters;
  /** Creates an unguessable token. */
  readonly createToken: () => string;
  /** Finds the incarnation of a peer on the stream that this node opened; undefined if there is none. */
  findIncarnation(peer: string): string | undefined;
  /** Finds the active bundle; undefined while the node is not ready. */
  findBundle(): Bundle | undefined;
  /** Returns whether the node has stopped accepting calls for its backend server. */
  isLeaving(): boolean;
  /**
   * Measures the time until a planned stop cuts off the requests that are not done, in milliseconds; infinite if none has
   * started.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  measureStopRemainingMs(nowMs: number): number;
  /**
   * Returns whether a request that arrives now will be answered before a planned stop ends; true if none has started.
   * @param longestMs - Time within which the request is answered, in milliseconds.
   * @param repeatable - Whether the request may run more than once.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  canFinish(longestMs: number, repeatable: boolean, nowMs: number): boolean;
}
