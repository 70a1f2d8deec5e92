import type { Frame } from '@tanagerpond/wire';
import type { Refusal } from '../../request/index.js';
import type { DocumentUpdate } from '../documents/index.js';
import type { DecisionBasis } from './DecisionBasis.js';
import type { HeaderPair } from './NodeMessage.js';

/**
 * Commands of the node state machine to its host. `bodyOf` names a body that the host has stored; the empty name means
 * no body. If the host has no body under a non-empty name, this is an error, and the host must not use an empty body
 * instead.
 */
export type NodeCommand =
  /** Answers a caller, or the backend server for a call that it made itself. The body is stored under `bodyOf`. */
  | {
      readonly kind: 'answerRequester';
      readonly requestId: string;
      readonly status: number;
      readonly headers: readonly HeaderPair[];
      readonly bodyOf: string;
      /**
       * Only the close of the connection marked the end of the body, so it may be truncated and must not get a length.
       */
      readonly closeDelimited: boolean;
    }
  | {
      readonly kind: 'refuseRequester';
      readonly requestId: string;
      readonly refusal: Refusal;
      /** Headers in addition to those derived from the refusal, such as a ticket. */
      readonly headers: readonly HeaderPair[];
    }
  /** Sends a frame on the stream that this node opened to the peer; opens the stream if there is none. */
  | {
      readonly kind: 'sendRequest';
      readonly peer: string;
      readonly frame: Frame;
      readonly bodyOf?: string;
    }
  /** Sends a frame on the stream that the peer opened; the frame is dropped if that stream no longer exists. */
  | {
      readonly kind: 'sendReply';
      readonly peer: string;
      readonly frame: Frame;
      readonly bodyOf?: string;
    }
  /** Sends a request to the node's backend server; the host stores the body of the answer under `callId`. */
  | {
      readonly kind: 'callBackend';
      readonly callId: string;
      readonly method: string;
      readonly target: string;
      readonly headers: readonly HeaderPair[];
      readonly bodyOf: string;
      readonly timeoutMs: number;
      /** Largest accepted answer body, in bytes. */
      readonly maxAnswer: number;
    }
  /** Cancels a call to the backend server. */
  | { readonly kind: 'cancelBackend'; readonly callId: string }
  /** Deletes a stored body. */
  | { readonly kind: 'releaseBody'; readonly bodyOf: string }
  /** Stores the body named `from` under a second name as well. */
  | { readonly kind: 'keepBody'; readonly from: string; readonly to: string }
  /** Reads the configuration service once. */
  | { readonly kind: 'readService' }
  /** Starts or stops watching the configuration service, or the source of unsigned documents. */
  | {
      readonly kind: 'watchService';
      readonly enabled: boolean;
      /** Mean time for which the source may hold a call without changes, in milliseconds; its own setting if absent. */
      readonly meanWaitMs?: number;
    }
  /** Gives up the open connections to the source of unsigned documents, which may be silent, and calls it again. */
  | { readonly kind: 'renewWatch' }
  /** Hands over changes from a peer that are newer than those from this node's own source. */
  | { readonly kind: 'documentReceived'; readonly update: DocumentUpdate }
  /** The drain has ended, because all calls are done or its time limit has passed; the process may exit. */
  | { readonly kind: 'drained' }
  /** Writes a log line. */
  | {
      readonly kind: 'log';
      readonly level: 'debug' | 'info' | 'warn' | 'error';
      readonly part: string;
      readonly text: string;
      readonly fields?: Readonly<Record<string, string | number | boolean>>;
      /**
       * Data that the decision was based on; when the host writes the line, it adds the ages of this data to the
       * fields.
       */
      readonly basis?: DecisionBasis;
    };
