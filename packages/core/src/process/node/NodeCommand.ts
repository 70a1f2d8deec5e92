import type { Frame } from '@tanagerpond/wire';
import type { Refusal } from '../../request/index.js';
import type { PublishedDocument } from '../documents/index.js';
import type { DecisionBasis } from './DecisionBasis.js';
import type { HeaderPair } from './NodeMessage.js';

/**
 * Everything that a node's decisions ask of the host. `bodyOf` is the name of a kept body; the empty name stands for no
 * body, and a name that is not kept is a fault that must never pass for an empty body.
 */
export type NodeCommand =
  /** Answers a caller or the backend server's own outgoing call. The body is kept under `bodyOf`. */
  | {
      readonly kind: 'answerRequester';
      readonly requestId: string;
      readonly status: number;
      readonly headers: readonly HeaderPair[];
      readonly bodyOf: string;
      /** Nothing but the close of a connection told the end of the body, so it must not get a length. */
      readonly closeDelimited: boolean;
    }
  | {
      readonly kind: 'refuseRequester';
      readonly requestId: string;
      readonly refusal: Refusal;
      /** Headers besides those that follow from the refusal, such as a ticket. */
      readonly headers: readonly HeaderPair[];
    }
  /** Sends on the stream that this node opened to the peer, opening it when needed. `bodyOf` names a kept body. */
  | {
      readonly kind: 'sendRequest';
      readonly peer: string;
      readonly frame: Frame;
      readonly bodyOf?: string;
    }
  /** Sends on the stream that the peer opened; dropped when that stream is gone. */
  | {
      readonly kind: 'sendReply';
      readonly peer: string;
      readonly frame: Frame;
      readonly bodyOf?: string;
    }
  /** Sends a request to the backend server beside the node; its answer is kept under `callId`. */
  | {
      readonly kind: 'callBackend';
      readonly callId: string;
      readonly method: string;
      readonly target: string;
      readonly headers: readonly HeaderPair[];
      readonly bodyOf: string;
      readonly timeoutMs: number;
      /** Largest answer in bytes. */
      readonly maxAnswer: number;
    }
  | { readonly kind: 'cancelBackend'; readonly callId: string }
  /** Forgets a kept body. */
  | { readonly kind: 'releaseBody'; readonly bodyOf: string }
  /** Keeps the body of `from` under a second name as well. */
  | { readonly kind: 'keepBody'; readonly from: string; readonly to: string }
  | { readonly kind: 'readService' }
  | { readonly kind: 'watchService'; readonly enabled: boolean }
  /** A peer sent a newer document than the source of this node did. */
  | { readonly kind: 'documentReceived'; readonly document: PublishedDocument }
  /** Every call in flight is done after a drain; the process may exit. */
  | { readonly kind: 'drained' }
  | {
      readonly kind: 'log';
      readonly level: 'debug' | 'info' | 'warn' | 'error';
      readonly part: string;
      readonly text: string;
      readonly fields?: Readonly<Record<string, string | number | boolean>>;
      /** What decided; the host adds the ages to the fields when it writes the line. */
      readonly basis?: DecisionBasis;
    };
