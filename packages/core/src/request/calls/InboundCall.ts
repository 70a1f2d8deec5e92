import type { Route } from '@tanagerpond/bundle';
import type { HeaderPair } from '../../process/node/NodeMessage.js';
import type { CallContext } from '../CallContext.js';
import type { AttemptAllowance } from './AttemptAllowance.js';

/** Where the answer of a call goes. */
export interface ReplyAddress {
  readonly peer: string;
  readonly callId: string;
}

/** A call that this node's backend server runs or will run. Lives until its backend result is in. */
export interface InboundCall {
  /** Id of the attempt that brought the call; names it at the backend server and in the body store. */
  readonly callId: string;
  readonly route: Route;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly HeaderPair[];
  readonly bodyOf: string;
  readonly context: CallContext;
  /** Set on routes that may not be repeated. */
  readonly once?: { readonly id: string; readonly digest: string; readonly expiryMs: number };
  readonly fingerprint: string;
  /** The sender or this node suspects that the call crashes backend servers. */
  readonly suspect: boolean;
  /** Value of the header `tanagerpond-call`; unguessable. */
  readonly token: string;
  readonly allowance: AttemptAllowance;
  /** Requests that the backend server sent while it ran the call and that are not done. */
  readonly children: Set<string>;
  /** Services that the call and its subtree touched. */
  readonly calledServices: Set<string>;
  /** More than one when a call that runs at most once was sent again. */
  replyTo: readonly ReplyAddress[];
  state: 'queued' | 'running';
  startedMs: number;
  /** Why the node ended the backend server's work, when it did. */
  stopReason?: 'preempted' | 'deadline' | 'cancelled';
}
