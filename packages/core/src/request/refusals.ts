/** What is known about whether a request ran: to its end, not at all, or unknown. */
export type Outcome = 'complete' | 'notRun' | 'unknown';

/** How a refusal is presented to callers. */
export interface RefusalRule {
  /** HTTP status of the answer. */
  readonly status: number;
  readonly outcome: Outcome;
  /** The answer carries a jittered `retry-after`. */
  readonly retryAfter: boolean;
}

/** Every reason for which a request is refused. */
export const REFUSALS = {
  keyMissing: { status: 401, outcome: 'notRun', retryAfter: false },
  keyUnknown: { status: 401, outcome: 'notRun', retryAfter: false },
  keyExposed: { status: 400, outcome: 'notRun', retryAfter: false },
  headerMalformed: { status: 400, outcome: 'notRun', retryAfter: false },
  requestMalformed: { status: 400, outcome: 'notRun', retryAfter: false },
  routeUnknown: { status: 404, outcome: 'notRun', retryAfter: false },
  configurationUnsupported: { status: 503, outcome: 'notRun', retryAfter: true },
  bodyTooLarge: { status: 413, outcome: 'notRun', retryAfter: false },
  answerTooLarge: { status: 502, outcome: 'unknown', retryAfter: false },
  buffersFull: { status: 503, outcome: 'notRun', retryAfter: true },
  rateExceeded: { status: 429, outcome: 'notRun', retryAfter: true },
  overloaded: { status: 503, outcome: 'notRun', retryAfter: true },
  preempted: { status: 503, outcome: 'unknown', retryAfter: true },
  noBackend: { status: 503, outcome: 'notRun', retryAfter: true },
  starting: { status: 503, outcome: 'notRun', retryAfter: true },
  leaving: { status: 503, outcome: 'notRun', retryAfter: true },
  vmUnreachable: { status: 503, outcome: 'notRun', retryAfter: true },
  vmUnknown: { status: 421, outcome: 'notRun', retryAfter: false },
  deadlineExpired: { status: 504, outcome: 'notRun', retryAfter: true },
  deadlinePassedWhileRunning: { status: 504, outcome: 'unknown', retryAfter: false },
  ticketRequired: { status: 428, outcome: 'notRun', retryAfter: false },
  ticketInvalid: { status: 400, outcome: 'notRun', retryAfter: false },
  ticketExpired: { status: 410, outcome: 'unknown', retryAfter: false },
  ticketMismatch: { status: 422, outcome: 'notRun', retryAfter: false },
  ticketTableFull: { status: 503, outcome: 'notRun', retryAfter: true },
  inProgress: { status: 409, outcome: 'unknown', retryAfter: true },
  answerNotKept: { status: 409, outcome: 'complete', retryAfter: false },
  incarnationGone: { status: 502, outcome: 'unknown', retryAfter: false },
  linkLost: { status: 502, outcome: 'unknown', retryAfter: false },
  backendFailed: { status: 502, outcome: 'unknown', retryAfter: false },
  suspectRefused: { status: 503, outcome: 'notRun', retryAfter: true },
  parentUnknown: { status: 403, outcome: 'notRun', retryAfter: false },
  callNotDeclared: { status: 403, outcome: 'notRun', retryAfter: false },
  depthExceeded: { status: 508, outcome: 'notRun', retryAfter: false },
  cancelled: { status: 499, outcome: 'unknown', retryAfter: false },
} as const satisfies Record<string, RefusalRule>;

export type RefusalReason = keyof typeof REFUSALS;

/** A refusal of a request; `REFUSALS` maps its reason to the HTTP status. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** Differs from the outcome in `REFUSALS` where the refusing node can prove more, or cannot prove as much. */
  readonly outcome: Outcome;
  /** Time after which the caller may retry, in milliseconds, jittered. */
  readonly retryAfterMs?: number;
  /** Field, header or limit that caused the refusal; never a key, ticket or body. */
  readonly detail?: string;
}

/**
 * Returns whether a text is the name of a refusal reason of this version.
 * @param text - Reason as received from a peer.
 */
export function isRefusalReason(text: string): text is RefusalReason {
  return Object.hasOwn(REFUSALS, text);
}

/**
 * Creates a refusal with the outcome that `REFUSALS` gives for its reason, unless `extra` overrides it.
 * @param reason - Entry of `REFUSALS`.
 * @param extra - Fields that depend on the request; `retryAfterMs` in milliseconds.
 */
export function createRefusal(
  reason: RefusalReason,
  extra: Partial<Omit<Refusal, 'reason'>> = {},
): Refusal {
  return { reason, outcome: REFUSALS[reason].outcome, ...extra };
}
