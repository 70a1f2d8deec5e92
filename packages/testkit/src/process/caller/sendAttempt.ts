import * as crypto from 'node:crypto';
import * as undici from 'undici';
import type { AttemptResult, RequestEnd } from './RequestRecord.js';

/** One attempt of a request, sent to one node. */
export interface Attempt {
  /** `IP:port` of the node's caller listener. */
  readonly entry: string;
  readonly method: string;
  readonly target: string;
  readonly requestId: string;
  readonly attemptId: string;
  /** Request body; an empty text means no body. */
  readonly body: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly timeoutMs: number;
  /** Connection pool to use; the global one of undici by default. */
  readonly dispatcher?: undici.Dispatcher;
}

/** Codes of errors that occur before any byte of the request is sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

const OUTCOME_ENDS: Readonly<Record<string, RequestEnd>> = {
  'not-run': 'refusedNotRun',
  unknown: 'unknown',
};

/**
 * Sends one attempt and checks that the answer is complete and belongs to it: it must contain the id of the request and
 * the digest of its body. Never rejects; connection errors and time-outs are part of the result.
 * @param attempt - What to send.
 */
export async function sendAttempt(attempt: Attempt): Promise<AttemptResult> {
  try {
    const answer = await undici.request(`http://${attempt.entry}${attempt.target}`, {
      method: attempt.method,
      headers: buildHeaders(attempt),
      body: attempt.body === '' ? null : attempt.body,
      dispatcher: attempt.dispatcher,
      signal: AbortSignal.timeout(attempt.timeoutMs),
    });
    return checkAnswer(attempt, answer.statusCode, answer.headers, await answer.body.text());
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? (error as Error).name;
    return {
      end: NOT_SENT_CODES.has(code) ? 'refusedNotRun' : 'unknown',
      status: 0,
      reason: code,
      detail: '',
    };
  }
}

function buildHeaders(attempt: Attempt): Record<string, string> {
  return {
    ...(attempt.body === '' ? {} : { 'content-type': 'application/json' }),
    ...attempt.headers,
    'x-request-id': attempt.requestId,
    'x-attempt-id': attempt.attemptId,
  };
}

function checkAnswer(
  attempt: Attempt,
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
  text: string,
): AttemptResult {
  const outcome = String(headers['tanagerpond-outcome'] ?? 'complete');
  const reason = String(headers['tanagerpond-reason'] ?? '');
  const detail = status === 200 ? '' : readDetail(text);
  const ticket = headers['tanagerpond-ticket'];
  const end = OUTCOME_ENDS[outcome] ?? checkBody(attempt, status, reason, text);
  return {
    end,
    status,
    reason,
    detail,
    ...(ticket === undefined ? {} : { ticket: String(ticket) }),
  };
}

function checkBody(attempt: Attempt, status: number, reason: string, text: string): RequestEnd {
  if (status !== 200) {
    return 'failed';
  }
  if (reason !== '') {
    return 'wrong';
  }
  return hasMatchingIdAndDigest(attempt, text) ? 'whole' : 'wrong';
}

function hasMatchingIdAndDigest(attempt: Attempt, text: string): boolean {
  try {
    const answer = JSON.parse(text) as { requestId?: unknown; bodyDigest?: unknown };
    const digest = crypto.createHash('sha256').update(attempt.body).digest('hex');
    return answer.requestId === attempt.requestId && answer.bodyDigest === digest;
  } catch {
    return false;
  }
}

/**
 * Reads the cause from the body of an answer: the limit or service that caused a refusal, or the outgoing call whose
 * failure a backend server reports.
 */
function readDetail(text: string): string {
  try {
    const { detail, failure } = JSON.parse(text) as { detail?: unknown; failure?: unknown };
    return String(detail ?? failure ?? '');
  } catch {
    return '';
  }
}
