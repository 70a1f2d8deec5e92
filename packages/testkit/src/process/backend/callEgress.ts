import type * as http from 'node:http';
import * as undici from 'undici';

/** One outgoing call of a backend server. */
export interface EgressCall {
  readonly origin: string;
  readonly method: string;
  readonly target: string;
  readonly requestId: string;
  readonly attemptId: string;
  /** Headers of the request that causes the call; `tanagerpond-call` is passed on. */
  readonly parent: http.IncomingHttpHeaders;
  readonly signal: AbortSignal;
}

/** How a call ended for the backend server that made it. */
export interface EgressAnswer {
  readonly status: number;
  readonly outcome: string;
  readonly reason: string;
}

/** Pipelining off and no connection limit: the egress listener decides what waits. */
const agent = new undici.Agent({ connections: null, keepAliveTimeout: 60_000 });

/**
 * Calls another service through the egress listener of the own node.
 * @param call - What to call.
 * @returns The status, 502 when the call itself failed, and what the node reported.
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
