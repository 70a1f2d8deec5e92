import { request } from '@tanagerpond/core';
import type { node } from '@tanagerpond/core';

/** HTTP form of an outcome. */
export const OUTCOME_HEADER: Readonly<Record<request.Outcome, string>> = {
  complete: 'complete',
  notRun: 'not-run',
  unknown: 'unknown',
};

const SECOND_MS = 1_000;

/** An answer as the host writes it. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: readonly node.HeaderPair[];
  readonly body: Buffer;
  /** The answer gets no length and ends with its connection, because the end of the body is not proved. */
  readonly closeDelimited?: boolean;
}

/**
 * Builds the HTTP form of a refusal.
 * @param refusal - Refusal of the decisions or of the host.
 * @param headers - Further headers, such as a ticket.
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
