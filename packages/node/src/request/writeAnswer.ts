import { STATUS_CODES } from 'node:http';
import type { ServerResponse } from 'node:http';
import { request } from '@tanagerpond/core';
import { buildRefusalAnswer } from './buildRefusalAnswer.js';
import type { HttpAnswer } from './buildRefusalAnswer.js';

/**
 * Writes an answer.
 * @param outgoing - Answer to write to.
 * @param answer - Status, headers and body; the length is added unless the answer is close-delimited.
 * @param last - The connection closes after it.
 */
export function writeAnswer(outgoing: ServerResponse, answer: HttpAnswer, last: boolean): void {
  const headers = answer.headers.flat();
  const closeDelimited = answer.closeDelimited === true;
  if (last || closeDelimited) {
    headers.push('connection', 'close');
  }
  // The length in an answer to HEAD would be the one of the answer to GET, which is not known here.
  if (closeDelimited) {
    Object.assign(outgoing, { useChunkedEncodingByDefault: false });
  } else if (answer.status !== 204 && answer.status !== 304 && outgoing.req.method !== 'HEAD') {
    headers.push('content-length', String(answer.body.length));
  }
  try {
    outgoing.writeHead(answer.status, headers);
    outgoing.end(answer.body);
  } catch {
    // A header that HTTP does not allow must not leave the request without any answer.
    writeBadHeader(outgoing);
  }
}

/**
 * Renders a whole answer as text, for a connection on which no request was recognized.
 * @param answer - Status, headers and body; the length and the end of the connection are added.
 */
export function renderAnswer({ status, headers, body }: HttpAnswer): string {
  const lines = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    ...headers.map(([name, value]) => `${name}: ${value}`),
    `content-length: ${body.length}`,
    'connection: close',
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body.toString()}`;
}

function writeBadHeader(outgoing: ServerResponse): void {
  const refusal = request.createRefusal('backendFailed', { detail: 'header of the answer' });
  const { status, headers, body } = buildRefusalAnswer(refusal);
  const last = ['connection', 'close', 'content-length', String(body.length)];
  outgoing.writeHead(status, [...headers.flat(), ...last]);
  outgoing.end(body);
}
