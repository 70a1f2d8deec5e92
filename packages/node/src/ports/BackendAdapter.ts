import type { node } from '@tanagerpond/core';
import type { NamedRateLimit } from './readRateLimit.js';

/** Health of a backend server as the decision engine receives it. */
export type BackendHealthState = Extract<node.NodeMessage, { kind: 'backendHealth' }>['state'];

/** Answer of a backend server as the adapter interprets its status and headers. */
export interface InterpretedAnswer {
  /** The answer belongs to a different request; no part of it may reach the caller. */
  readonly mismatched: boolean;
  /** The backend server proves that it did not run the request. */
  readonly notRun: boolean;
  /** Rate limit that the backend server names in the answer. */
  readonly rateLimit: NamedRateLimit;
  /** The backend server announces that it is leaving. */
  readonly isLeaving: boolean;
  /** Headers to forward to the caller. */
  readonly headers: readonly node.HeaderPair[];
}

/** Translates between the node and the HTTP interface of its backend server. An adapter makes no decisions. */
export interface BackendAdapter {
  /** Path of the health endpoint, unless the configuration of the service has another one. */
  readonly healthPath: string;

  /**
   * Whether answers may have no length and end with their connection. Such an answer may be truncated without notice,
   * so it is passed to the caller in the same form. When false, such an answer gives the result `broken`.
   */
  readonly allowsUnframedAnswers: boolean;

  /**
   * Translates the headers of a request to those that the backend server expects.
   * @param headers - Headers of the caller and `tanagerpond-*` headers.
   */
  writeRequest(headers: readonly node.HeaderPair[]): readonly node.HeaderPair[];

  /**
   * Interprets the status and headers of an answer.
   * @param answer - Status and headers of the answer.
   * @param sent - Headers of the request as returned by `writeRequest`.
   */
  readAnswer(
    answer: { readonly status: number; readonly headers: readonly node.HeaderPair[] },
    sent: readonly node.HeaderPair[],
  ): InterpretedAnswer;

  /**
   * Interprets an answer of the health endpoint.
   * @param status - HTTP status.
   * @param body - Body as text.
   */
  readHealth(status: number, body: string): BackendHealthState;
}
