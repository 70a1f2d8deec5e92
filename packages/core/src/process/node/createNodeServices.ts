import * as crypto from 'node:crypto';
import * as admission from '../admission/index.js';
import * as membership from '../membership/index.js';
import * as deduplication from '../deduplication/index.js';
import * as backpressure from '../backpressure/index.js';
import * as routing from '../routing/index.js';
import * as shares from '../shares/index.js';
import * as suspects from '../suspects/index.js';
import type { RandomSource } from '../time/index.js';
import * as trees from '../trees/index.js';
import { Counters } from './Counters.js';
import type { NodeServices } from './NodeServices.js';
import { Outbox } from './Outbox.js';

/** Limits of the admission queue until a bundle declares those of the service. */
const INITIAL_LIMITS = { slots: 1, queue: 16 };

/** Time for which a poison request stays refused until a bundle declares another value. */
const POISON_BLOCK_MS = 600_000;

/** Options of a node state machine. */
export interface NodeStateMachineOptions {
  readonly self: membership.VmIdentity;
  readonly random: RandomSource;
  /** Ed25519 public keys that may sign bundles, 43 base64url characters each. */
  readonly trustedKeys: readonly string[];
  /** True if the configuration source is trusted and its bundles are not signed. */
  readonly unsignedBundles?: boolean;
  /** Monotonic time of the process start, in milliseconds. */
  readonly startedMs: number;
  /** Longest time that a planned stop waits for calls in flight, in milliseconds. */
  readonly drainLimitMs: number;
  /** Names of peers that may be asked for documents in addition to listed VMs while no peer is linked. */
  readonly seeds?: readonly string[];
  /**
   * Concurrency limit of the backend server, and whether running calls are preempted; by default adaptive with
   * preemption.
   */
  readonly admission?: admission.AdmissionPolicy;
  /**
   * Basis of load shedding: `levels` is the pressure level of the called service, `trees` the demand of whole call
   * trees.
   */
  readonly overload?: 'levels' | 'trees';
  /** How requests that crash backend servers are identified; by isolating suspects by default. */
  readonly suspects?: suspects.SuspectPolicy;
  /** How the rates of a bundle are applied; by default without excess and without delay. */
  readonly rates?: shares.RateOptions;
  /** Creates unguessable call tokens; random by default, fixed in tests. */
  readonly createToken?: () => string;
  /** Secret for tickets; random by default, fixed in tests. */
  readonly ticketSecret?: Buffer;
}

/** Access to the state of the state machine that decision modules need. */
type StateMachineAccess = Pick<
  NodeServices,
  'findIncarnation' | 'findBundle' | 'isLeaving' | 'measureStopRemainingMs' | 'canFinish'
>;

/**
 * Creates the decision modules of one process.
 * @param options - Options of the node state machine.
 * @param access - Access to the state that the state machine keeps itself.
 */
export function createNodeServices(
  options: NodeStateMachineOptions,
  access: StateMachineAccess,
): NodeServices {
  const { self, random, startedMs } = options;
  const members = new membership.Membership(self);
  return {
    self,
    random,
    membership: members,
    router: new routing.Router({ self, membership: members, random }),
    retryBudget: new routing.RetryBudget(),
    backpressure: new backpressure.BackpressureTable({ random }),
    rateLimiter: new shares.RateLimiter({
      self,
      membership: members,
      random,
      startedMs,
      ...options.rates,
    }),
    admission: new admission.AdmissionQueue({
      ...INITIAL_LIMITS,
      random,
      ...(options.admission === undefined ? {} : { policy: options.admission }),
    }),
    suspects: new suspects.SuspectTable({
      blockMs: POISON_BLOCK_MS,
      ...(options.suspects === undefined ? {} : { policy: options.suspects }),
    }),
    deduplication: new deduplication.DeduplicationTable(),
    tickets: new deduplication.TicketIssuer(self, options.ticketSecret),
    ...(options.overload === 'trees'
      ? { callTrees: new trees.CallTrees(self.service, random) }
      : {}),
    outbox: new Outbox(self.name),
    counters: new Counters(),
    createToken: options.createToken ?? createRandomToken,
    ...access,
  };
}

function createRandomToken(): string {
  return crypto.randomUUID();
}
