import type { node, request } from '@tanagerpond/core';
import type { HttpAnswer } from '../request/buildRefusalAnswer.js';

/** Translates between the HTTP interface that callers use and the node. An adapter makes no decisions. */
export interface EdgeAdapter {
  /**
   * Translates the headers of a request to the native ones (`authorization`, `tanagerpond-*`).
   * @param headers - Headers as received, with names in lower case.
   */
  readRequest(headers: readonly node.HeaderPair[]): readonly node.HeaderPair[];

  /**
   * Translates the headers of a complete answer to those that callers expect.
   * @param headers - Headers of the backend server's answer and native headers.
   */
  writeAnswer(headers: readonly node.HeaderPair[]): readonly node.HeaderPair[];

  /**
   * Builds the answer for a request that the node refuses.
   * @param refusal - Reason, outcome and retry delay.
   * @param headers - Additional headers, such as a ticket.
   */
  buildRefusal(refusal: request.Refusal, headers: readonly node.HeaderPair[]): HttpAnswer;
}
