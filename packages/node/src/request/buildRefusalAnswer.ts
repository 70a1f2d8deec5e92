import { request } from '@tanagerpond/core';
import type { node } from '@tanagerpond/core';

/** Values of the header `tanagerpond-outcome`. */
export const OUTCOME_HEADER: Readonly<Record<request.Outcome, string>> = {
  complete: 'complete',
  notRun: 'not-run',
  unknown: 'unknown',
};

const SECOND_MS = 1_000;

/** An HTTP answer with its whole body, ready to be written. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: readonly node.HeaderPair[];
  readonly body: Buffer;
  /**
   * The answer is sent without `content-length` and ends with its connection, because the backend server marked the end
   * of the body in no other way.
   */
  readonly closeDelimited?: boolean;
}

/**
 * Builds the HTTP answer for a refused request: status, `tanagerpond-*` headers and a JSON body.
 * @param refusal - Refusal by the decision engine or by a listener.
 * @param headers - Additional headers, such as a ticket.
 */
export function buildRefusalAnswer(
  refusal: request.Refusal,
  headers: readonly node.HeaderPair[] = [],
): HttpAnswer {
  const { reason, retryAfterMs, detail } = refusal;
  const outcome = OUTCOME_HEADER[refusal.outcome];
  const waitMs = retryAfterMs === undefined ? undefined : Math.ceil(retryAfterMs);
  const wait: readonly node.HeaderPair[] =
    waitMs === undefined
      ? []
      : [
          ['retry-after', String(Math.ceil(waitMs / SECOND_MS))],
          ['tanagerpond-retry-after-ms', String(waitMs)],
        ];
  return {
    status: request.REFUSALS[reason].status,
    headers: [
      ['content-type', 'application/json'],
      ['tanagerpond-outcome', outcome],
      ['tanagerpond-reason', reason],
      ...wait,
      ...headers,
    ],
    body: Buffer.from(JSON.stringify({ reason, outcome, retryAfterMs: waitMs, detail })),
  };
}
