import type { Route } from '@tanagerpond/bundle';
import type { Answer } from '@tanagerpond/wire';
import type { HeaderPair } from '../../process/node/NodeMessage.js';
import type { CallContext } from '../CallContext.js';
import type { Refusal } from '../refusals.js';
import type { AttemptAllowance } from './AttemptAllowance.js';

/** Under which identity a call runs at most once. */
export type OnceIdentity =
  /** A caller's ticket; only the incarnation that it names may run it. */
  | {
      readonly kind: 'ticket';
      readonly text: string;
      readonly vm: string;
      readonly incarnation: string;
    }
  /** A backend server's own call; its node draws the id. */
  | { readonly kind: 'own'; readonly id: string };

/** One attempt of a call at one VM. */
export interface Attempt {
  readonly callId: string;
  readonly vm: string;
  /** Incarnation that the attempt was sent to; known once the link is up. */
  incarnation: string | undefined;
  /** Extra attempts handed to the callee. */
  readonly granted: number;
  readonly sentMs: number;
}

/** An answer that is kept while a further attempt is under way. */
export interface FallbackAnswer {
  readonly answer: Answer;
  /** Name of its body. Not the attempt's id: where this node ran the attempt, that name is released with the run. */
  readonly bodyOf: string;
  readonly receivedMs: number;
}

/** A call that this node started, for a caller or for its own backend server. Lives as long as the request. */
export interface OutboundCall {
  readonly requestId: string;
  /** Call id of the parent that runs on the own backend server; absent for callers. */
  readonly parentCallId?: string;
  readonly route: Route;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly HeaderPair[];
  readonly bodySize: number;
  readonly bodyDigest: string;
  readonly context: CallContext;
  readonly keyDigest?: string;
  /** Id that the caller gave to the attempt, for logs. */
  readonly attemptId?: string;
  readonly allowance: AttemptAllowance;
  /** Extra attempts that the parent gave. */
  readonly grantedByParent: number;
  readonly startedMs: number;
  once?: OnceIdentity;
  state: 'waitingForRate' | 'waitingForTicket' | 'attempting';
  attempt?: Attempt;
  /** VMs that were tried; none is tried twice, but for repeats of a call that runs at most once. */
  readonly tried: Set<string>;
  /** Attempts that reached no backend server because a VM was leaving, starting or unreachable. */
  redirects: number;
  /** Some attempt may have run, so that no later refusal can say "not run". */
  mayHaveRun: boolean;
  /** This node refuses the call and asks the ticket's VM for proof that it did not run. */
  pendingRefusal?: Refusal;
  /** Answer without a proved end, which the requester gets unless a further attempt brings another one. */
  fallback?: FallbackAnswer;
}
