import type { node } from '@tanagerpond/core';

/** Health of a backend server as the decisions know it. */
export type BackendHealthState = Extract<node.NodeMessage, { kind: 'backendHealth' }>['state'];

/** What the headers of an answer say about it. */
export interface InterpretedAnswer {
  /** The answer belongs to another request; nothing of it may reach the caller. */
  readonly mismatched: boolean;
  /** The backend server proves that it did not run the request. */
  readonly notRun: boolean;
  /** Headers that go on to the caller. */
  readonly headers: readonly node.HeaderPair[];
}

/** How the node speaks to its backend server. It translates names and decides nothing. */
export interface BackendAdapter {
  /** Path of the health endpoint. */
  readonly healthPath: string;

  /**
   * Answers may have no length and end with their connection. Such an answer cannot be told from a truncated one, so it
   * reaches the caller in the same form; where it is not allowed, the run counts as broken.
   */
  readonly allowsUnframedAnswers: boolean;

  /**
   * Translates the headers of a request from those of the product.
   * @param headers - Headers of the caller and `tanagerpond-*`.
   */
  writeRequest(headers: readonly node.HeaderPair[]): readonly node.HeaderPair[];

  /**
   * Reads the headers of an answer.
   * @param answer - Status and headers of the answer.
   * @param sent - Headers of the request, as `writeRequest` gave them.
   */
  readAnswer(
    answer: { readonly status: number; readonly headers: readonly node.HeaderPair[] },
    sent: readonly node.HeaderPair[],
  ): InterpretedAnswer;

  /**
   * Reads an answer of the health endpoint.
   * @param status - HTTP status.
   * @param body - Body as text.
   */
  readHealth(status: number, body: string): BackendHealthState;
}
