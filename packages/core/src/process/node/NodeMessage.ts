import type { Frame } from '@tanagerpond/wire';
import type { Bundle } from '@tanagerpond/bundle';
import type { DocumentUpdate } from '../documents/index.js';
import type { VmRecord } from '../membership/index.js';

/** Header name in lower case and header value; lists of headers keep the order of arrival. */
export type HeaderPair = readonly [name: string, value: string];

/** Request that the host has received completely; it stores the body under `requestId`. */
export interface ReceivedRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query as received, including the service segment. */
  readonly target: string;
  readonly headers: readonly HeaderPair[];
  readonly bodySize: number;
  /** SHA-256 of the body in lower-case hexadecimal; empty without a body. */
  readonly bodyDigest: string;
  /** The body contains text that has the form of an API key. */
  readonly bodyHasKey: boolean;
  /** Monotonic time at which the head was read, in milliseconds; time limits of the request count from it. */
  readonly arrivedMs: number;
}

/**
 * How the end of an answer body was determined: by its declared length, by the last chunk, by a status or method
 * without a body, or only by the close of the connection.
 */
export type AnswerFraming = 'length' | 'chunked' | 'bodiless' | 'close';

/** What a backend server announces about itself in the head of an answer. */
export interface BackendNotice {
  /** Monotonic time at which the head was read, in milliseconds. */
  readonly headMs: number;
  /** Calls a second that it takes from all VMs together, as long as its answers say so; undefined if it names none. */
  readonly rateLimit?: number;
  /** It names a rate limit that cannot be read, which has no effect. */
  readonly isRateLimitMalformed: boolean;
  /** It is leaving: it finishes what it has and takes nothing new. */
  readonly isLeaving: boolean;
}

/** Result of a call to the backend server. */
export type BackendResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: readonly HeaderPair[];
      readonly bodySize: number;
      readonly framing: AnswerFraming;
      /** The backend server reported that it shed the request without running it (`tanagerpond-shed: not-run`). */
      readonly shed: boolean;
      readonly notice?: BackendNotice;
    }
  /** No byte of the request was sent, because the connection was refused or timed out. */
  | { readonly kind: 'notSent' }
  /** The connection failed after the request was sent; the backend server may have crashed. */
  | { readonly kind: 'broken' }
  | { readonly kind: 'answerTooLarge' }
  | { readonly kind: 'cancelled' };

/** Messages from the host to the node state machine. The time of a message is an argument of `handle`. */
export type NodeMessage =
  | { readonly kind: 'callerRequest'; readonly request: ReceivedRequest }
  /** Outgoing call of the node's own backend server; `callToken` is its header `tanagerpond-call`. */
  | {
      readonly kind: 'egressRequest';
      readonly request: ReceivedRequest;
      readonly callToken: string;
    }
  /** The connection of the requester closed before it got an answer. */
  | { readonly kind: 'requesterGone'; readonly requestId: string }
  /** Frame from a peer. If it has a body, the host has received it completely and stored it under the call id. */
  | {
      readonly kind: 'peerFrame';
      readonly peer: string;
      readonly incarnation: string;
      /** True if the frame came on the stream that the peer opened. */
      readonly inbound: boolean;
      readonly frame: Frame;
    }
  /** The stream to or from a peer is open. */
  | {
      readonly kind: 'linkUp';
      readonly peer: string;
      readonly incarnation: string;
      readonly inbound: boolean;
    }
  /** An open stream to or from a peer has closed. */
  | {
      readonly kind: 'linkDown';
      readonly peer: string;
      readonly incarnation: string;
      readonly inbound: boolean;
    }
  /** A stream to a peer could not be opened, so none of the frames queued for it were sent. */
  | {
      readonly kind: 'linkFailed';
      readonly peer: string;
      /**
       * Calls that were dropped with the link. Later ones may already wait for a new link, which can still send them. All
       * calls to the peer if absent.
       */
      readonly callIds?: readonly string[];
    }
  | { readonly kind: 'backendResult'; readonly callId: string; readonly result: BackendResult }
  /** State reported by the health endpoint of the backend server; it lags and may be wrong. */
  | { readonly kind: 'backendHealth'; readonly state: 'healthy' | 'draining' | 'unreachable' }
  /** A bundle that the host has verified itself; it becomes active immediately if it is newer. */
  | { readonly kind: 'bundleAdopted'; readonly bundle: Bundle }
  /** The host has read a signed bundle envelope. */
  | { readonly kind: 'envelopeRead'; readonly envelope: string }
  /** The configuration service did not answer. */
  | { readonly kind: 'serviceUnavailable' }
  /** The host has a new list of VMs. */
  | {
      readonly kind: 'vmsListed';
      readonly vms: readonly VmRecord[];
      /**
       * The list was derived from the last one that was read, such as by removing an expired entry. Its age is
       * unchanged.
       */
      readonly isDerived?: true;
    }
  /** The source has confirmed that the list of VMs is unchanged. */
  | { readonly kind: 'listConfirmed' }
  /** The node's own source published changes of a document, which peers may request. */
  | { readonly kind: 'documentRead'; readonly update: DocumentUpdate }
  /** The node's own source has told the state of all documents as it was this long ago, in milliseconds. */
  | { readonly kind: 'documentsConfirmed'; readonly ageMs: number }
  /** The source of published documents became reachable or unreachable. */
  | { readonly kind: 'sourceChanged'; readonly reachable: boolean }
  /** A planned stop of the process was requested. */
  | { readonly kind: 'drainRequested' }
  | { readonly kind: 'tick' };
