import type { Frame } from '@tanagerpond/wire';
import type { Bundle } from '@tanagerpond/bundle';
import type { PublishedDocument } from '../documents/index.js';
import type { VmRecord } from '../membership/index.js';

/** Header as name (lower case) and value, in the order of arrival. */
export type HeaderPair = readonly [name: string, value: string];

/** A request whose body the host has assembled and keeps under `requestId`. */
export interface ReceivedRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query as received, service segment included. */
  readonly target: string;
  readonly headers: readonly HeaderPair[];
  readonly bodySize: number;
  /** SHA-256 of the body in lower-case hexadecimal; empty without a body. */
  readonly bodyDigest: string;
  /** The body holds something of key shape. */
  readonly bodyHasKey: boolean;
}

/**
 * What tells where the body of an answer ends: its declared length, the last chunk, the status or method that has no
 * body, or only the close of the connection.
 */
export type AnswerFraming = 'length' | 'chunked' | 'bodiless' | 'close';

/** What the backend server did with a call. */
export type BackendResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: readonly HeaderPair[];
      readonly bodySize: number;
      readonly framing: AnswerFraming;
      /** The backend server says that it shed the request (`tanagerpond-shed: not-run`). */
      readonly shed: boolean;
    }
  /** No byte of the request was sent: the connection was refused or timed out. */
  | { readonly kind: 'notSent' }
  /** The connection broke after the request was sent; the backend server may have died. */
  | { readonly kind: 'broken' }
  | { readonly kind: 'answerTooLarge' }
  | { readonly kind: 'cancelled' };

/** Everything that a node's decisions react to. Times come with `handle`. */
export type NodeMessage =
  | { readonly kind: 'callerRequest'; readonly request: ReceivedRequest }
  /** `callToken` is the header `tanagerpond-call` of a request of the node's own backend server. */
  | {
      readonly kind: 'egressRequest';
      readonly request: ReceivedRequest;
      readonly callToken: string;
    }
  | { readonly kind: 'requesterGone'; readonly requestId: string }
  /** A frame whose body, if it has one, is complete and kept by the host under its call id. */
  | {
      readonly kind: 'peerFrame';
      readonly peer: string;
      readonly incarnation: string;
      /** True when the frame came on a stream that the peer opened. */
      readonly inbound: boolean;
      readonly frame: Frame;
    }
  | {
      readonly kind: 'linkUp';
      readonly peer: string;
      readonly incarnation: string;
      readonly inbound: boolean;
    }
  | {
      readonly kind: 'linkDown';
      readonly peer: string;
      readonly incarnation: string;
      readonly inbound: boolean;
    }
  /** A link could not be opened, so nothing that was queued for it was sent. */
  | { readonly kind: 'linkFailed'; readonly peer: string }
  | { readonly kind: 'backendResult'; readonly callId: string; readonly result: BackendResult }
  /** Health as the backend server's endpoint tells it; it lags and may mislead. */
  | { readonly kind: 'backendHealth'; readonly state: 'healthy' | 'draining' | 'unreachable' }
  /** A bundle that the host has verified itself; the node serves with it at once. */
  | { readonly kind: 'bundleAdopted'; readonly bundle: Bundle }
  | { readonly kind: 'envelopeRead'; readonly envelope: string }
  | { readonly kind: 'serviceUnavailable' }
  | {
      readonly kind: 'vmsListed';
      readonly vms: readonly VmRecord[];
      /** Worked out again from what was last read, such as without an entry that lapsed; the list stays as old as it was. */
      readonly isDerived?: true;
    }
  /** The source has just told that the list has not changed. */
  | { readonly kind: 'listConfirmed' }
  /** The node's own source published a document, which peers may ask for. */
  | { readonly kind: 'documentRead'; readonly document: PublishedDocument }
  | { readonly kind: 'sourceChanged'; readonly reachable: boolean }
  | { readonly kind: 'drainRequested' }
  | { readonly kind: 'tick' };
