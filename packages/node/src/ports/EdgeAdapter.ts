import type { node, request } from '@tanagerpond/core';
import type { HttpAnswer } from '../request/buildRefusalAnswer.js';

/** How callers speak to the node. It translates names and statuses and decides nothing. */
export interface EdgeAdapter {
  /**
   * Translates the headers of a request into those of the product (`authorization`, `tanagerpond-*`).
   * @param headers - Headers as received, names in lower case.
   */
  readRequest(headers: readonly node.HeaderPair[]): readonly node.HeaderPair[];

  /**
   * Translates the headers of a whole answer.
   * @param headers - Headers of the backend server's answer and those of the product.
   */
  writeAnswer(headers: readonly node.HeaderPair[]): readonly node.HeaderPair[];

  /**
   * Builds the answer to a request that the node refuses.
   * @param refusal - Reason, outcome and time to come back.
   * @param headers - Headers besides those that follow from the refusal.
   */
  buildRefusal(refusal: request.Refusal, headers: readonly node.HeaderPair[]): HttpAnswer;
}
