import * as crypto from 'node:crypto';
import * as admission from '../admission/index.js';
import * as membership from '../membership/index.js';
import * as once from '../deduplication/index.js';
import * as pressure from '../backpressure/index.js';
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

/** Time for which a poison request stays refused until a bundle says otherwise, in milliseconds. */
const POISON_BLOCK_MS = 600_000;

/** What a node machine needs from its host. */
export interface NodeStateMachineOptions {
  readonly self: membership.VmIdentity;
  readonly random: RandomSource;
  /** Public keys that may sign bundles, ed25519, 43 base64url characters each. */
  readonly trustedKeys: readonly string[];
  /** The source of the configuration is trusted and gives no signed bundles. */
  readonly unsignedBundles?: boolean;
  /** Monotonic time of the start of the process, in milliseconds. */
  readonly startedMs: number;
  /** Longest time that calls in flight get during a planned stop, in milliseconds. */
  readonly drainLimitMs: number;
  /** Names of peers that are asked for documents while no list of VMs is known. */
  readonly seeds?: readonly string[];
  /** How many calls the backend server gets at once, and whether running work gives way; adaptive with preemption. */
  readonly admission?: admission.AdmissionPolicy;
  /** `levels`: a service's own level sheds requests to it; `trees`: what whole call trees need sheds them. */
  readonly overload?: 'levels' | 'trees';
  /** How requests that crash backend servers are found; isolating by default. */
  readonly suspects?: suspects.SuspectPolicy;
  /** How the rates of a bundle are applied; exactly and at once by default. */
  readonly rates?: shares.RateOptions;
  /** Draws unguessable call tokens; random unless a test needs fixed ones. */
  readonly createToken?: () => string;
  /** Secret of the tickets; random unless a test needs a fixed one. */
  readonly ticketSecret?: Buffer;
}

/** Views of the machine that the services look at. */
type MachineViews = Pick<NodeServices, 'findIncarnation' | 'findBundle' | 'isLeaving'>;

/**
 * Creates the decision modules of one process.
 * @param options - Identity, randomness and limits of the node.
 * @param views - State that the machine keeps itself.
 */
export function createNodeServices(
  options: NodeStateMachineOptions,
  views: MachineViews,
): NodeServices {
  const { self, random, startedMs } = options;
  const members = new membership.Membership(self);
  return {
    self,
    random,
    membership: members,
    router: new routing.Router({ self, membership: members, random }),
    retryRatio: new routing.RetryBudget(),
    pressure: new pressure.BackpressureTable({ random }),
    shares: new shares.RateLimiter({
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
    once: new once.DeduplicationTable(),
    tickets: new once.TicketIssuer(self, options.ticketSecret),
    ...(options.overload === 'trees' ? { trees: new trees.CallTrees(self.service, random) } : {}),
    outbox: new Outbox(self.name),
    counters: new Counters(),
    createToken: options.createToken ?? createRandomToken,
    ...views,
  };
}

function createRandomToken(): string {
  return crypto.randomUUID();
}
