import type * as http from 'node:http';
import * as undici from 'undici';

/** One outgoing call of a backend server. */
export interface EgressCall {
  /** Origin of the egress listener, `http://IP:port`. */
  readonly origin: string;
  readonly method: string;
  readonly target: string;
  readonly requestId: string;
  readonly attemptId: string;
  /** Headers of the request that causes the call, of which `tanagerpond-call` is forwarded. */
  readonly parent: http.IncomingHttpHeaders;
  readonly signal: AbortSignal;
}

/** Result of an outgoing call, with the outcome and reason that the node reported in headers. */
export interface EgressAnswer {
  readonly status: number;
  readonly outcome: string;
  readonly reason: string;
}

/** Connection pool without pipelining or a connection limit, so that calls queue in the egress listener only. */
const agent = new undici.Agent({ connections: null, keepAliveTimeout: 60_000 });

/**
 * Calls another service through the egress listener of the node beside this backend server. Never rejects.
 * @param call - Call to send.
 * @returns Status of the answer, or 502 if the connection was lost or the answer is not that of this call.
 */
export async function callEgress(call: EgressCall): Promise<EgressAnswer> {
  try {
    const hasBody = call.method !== 'GET' && call.method !== 'HEAD';
    const answer = await undici.request(`${call.origin}${call.target}`, {
      method: call.method,
      headers: {
        'x-request-id': call.requestId,
        'x-attempt-id': call.attemptId,
        'tanagerpond-call': String(call.parent['tanagerpond-call'] ?? ''),
        ...(hasBody ? { 'content-type': 'application/json' } : {}),
      },
      body: hasBody ? JSON.stringify({ child: call.requestId }) : null,
      dispatcher: agent,
      signal: call.signal,
    });
    const text = await answer.body.text();
    const isWhole = answer.statusCode !== 200 || text.includes(`"requestId":"${call.requestId}"`);
    const outcome = String(answer.headers['tanagerpond-outcome'] ?? '');
    const reason = isWhole ? String(answer.headers['tanagerpond-reason'] ?? '') : 'notWhole';
    return { status: isWhole ? answer.statusCode : 502, outcome, reason };
  } catch {
    return { status: 502, outcome: 'unknown', reason: 'connectionLost' };
  }
}
