import type { Route } from '@tanagerpond/bundle';
import type { HeaderPair } from '../../process/node/NodeMessage.js';
import type { CallContext } from '../CallContext.js';
import type { AttemptAllowance } from './AttemptAllowance.js';

/** Node and attempt to which the reply to a call is sent. */
export interface ReplyAddress {
  readonly peer: string;
  readonly callId: string;
}

/**
 * A call that the local backend server runs or will run. It exists until it is refused or the result of its run is
 * received.
 */
export interface InboundCall {
  /** Id of the attempt that delivered the call. The host knows the run, and the body of its answer, by this id. */
  readonly callId: string;
  readonly route: Route;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly HeaderPair[];
  /** Name under which the host keeps the body of the request. */
  readonly bodyOf: string;
  readonly context: CallContext;
  /** Set on non-repeatable routes. */
  readonly deduplicationKey?: {
    readonly id: string;
    readonly digest: string;
    readonly expiryMs: number;
  };
  /** Route, method, target and body digest, by which calls that crash backend servers are recognized. */
  readonly fingerprint: string;
  /** The sender suspects that the call crashes backend servers. */
  readonly suspect: boolean;
  /**
   * Unguessable value of the header `tanagerpond-call`, with which the backend server marks its outgoing calls as
   * children of this call.
   */
  readonly token: string;
  readonly allowance: AttemptAllowance;
  /** Ids of the open requests that the backend server has sent while running this call. */
  readonly children: Set<string>;
  /** Services called in the subtree of this call. */
  readonly calledServices: Set<string>;
  /** More than one when a non-repeatable call was sent again before it was answered. */
  replyTo: readonly ReplyAddress[];
  state: 'queued' | 'running';
  /** Start of the run, in monotonic milliseconds; while the call is queued, the time of its arrival. */
  startedMs: number;
  /** Why this node stopped the run, if it did. */
  stopReason?: 'preempted' | 'deadline' | 'cancelled';
}
