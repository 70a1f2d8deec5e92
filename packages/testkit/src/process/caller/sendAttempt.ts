import * as crypto from 'node:crypto';
import * as undici from 'undici';
import type { AttemptResult, RequestEnd } from './RequestRecord.js';

/** One attempt of a request at one entry node. */
export interface Attempt {
  readonly entry: string;
  readonly method: string;
  readonly target: string;
  readonly requestId: string;
  readonly attemptId: string;
  readonly body: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly timeoutMs: number;
  /** Connections to use; the process's own by default. */
  readonly dispatcher?: undici.Dispatcher;
}

/** Errors raised before any byte of the request was sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

const OUTCOME_ENDS: Readonly<Record<string, RequestEnd>> = {
  'not-run': 'refusedNotRun',
  unknown: 'unknown',
};

/**
 * Sends one attempt and checks that its answer is whole and its own.
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
  return hasOwnIdAndDigest(attempt, text) ? 'whole' : 'wrong';
}

function hasOwnIdAndDigest(attempt: Attempt, text: string): boolean {
  try {
    const answer = JSON.parse(text) as { requestId?: unknown; bodyDigest?: unknown };
    const digest = crypto.createHash('sha256').update(attempt.body).digest('hex');
    return answer.requestId === attempt.requestId && answer.bodyDigest === digest;
  } catch {
    return false;
  }
}

/** A refusal names the limit or service that caused it, and a backend server the call of its own that failed. */
function readDetail(text: string): string {
  try {
    const { detail, failure } = JSON.parse(text) as { detail?: unknown; failure?: unknown };
    return String(detail ?? failure ?? '');
  } catch {
    return '';
  }
}
