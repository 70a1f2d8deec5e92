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

/** What the call tables of one process share. */
export interface NodeServices {
  readonly self: VmIdentity;
  readonly random: RandomSource;
  readonly membership: Membership;
  readonly router: Router;
  readonly retryRatio: RetryBudget;
  readonly pressure: BackpressureTable;
  readonly shares: RateLimiter;
  readonly admission: AdmissionQueue;
  readonly suspects: SuspectTable;
  readonly once: DeduplicationTable;
  readonly tickets: TicketIssuer;
  /** Absent where overload is told by the levels of services alone. */
  readonly trees?: CallTrees;
  readonly outbox: Outbox;
  readonly counters: Counters;
  /** Draws an unguessable token. */
  readonly createToken: () => string;
  /** Incarnation of a peer on the stream that this node opened; undefined while there is none. */
  findIncarnation(peer: string): string | undefined;
  /** Bundle in force; undefined until the first one. */
  findBundle(): Bundle | undefined;
  /** The node no longer takes calls for its backend server. */
  isLeaving(): boolean;
}
