import { STATUS_CODES } from 'node:http';
import type { ServerResponse } from 'node:http';
import { request } from '@tanagerpond/core';
import { buildRefusalAnswer } from './buildRefusalAnswer.js';
import type { HttpAnswer } from './buildRefusalAnswer.js';

/**
 * Size of an answer that the kernel takes over at once, in bytes, so that the client gets all of it whatever happens to the
 * process.
 */
const TAKEN_AT_ONCE_BYTES = 64 * 1024;

/**
 * Writes an answer and ends the response. If a header is invalid, a refusal is written instead.
 * @param outgoing - Response to write to.
 * @param answer - Status, headers and body; `content-length` is added where the answer may have one.
 * @param last - Whether the connection closes after the answer.
 */
export function writeAnswer(outgoing: ServerResponse, answer: HttpAnswer, last: boolean): void {
  const headers = answer.headers.flat();
  const closeDelimited = answer.closeDelimited === true;
  if (last || closeDelimited) {
    headers.push('connection', 'close');
  }
  // An answer to HEAD would need the length of the answer to GET, which is not known here.
  if (closeDelimited) {
    Object.assign(outgoing, { useChunkedEncodingByDefault: needsChunks(outgoing, answer) });
  } else if (answer.status !== 204 && answer.status !== 304 && outgoing.req.method !== 'HEAD') {
    headers.push('content-length', String(answer.body.length));
  }
  try {
    outgoing.writeHead(answer.status, headers);
    outgoing.end(answer.body);
  } catch {
    // The request must be answered even when a header contains characters that HTTP does not allow.
    writeBadHeader(outgoing);
  }
}

/**
 * Renders an answer as HTTP/1.1 text, for a connection whose bytes could not be parsed as a request.
 * @param answer - Status, headers and body; `content-length` and `connection: close` are added.
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

/**
 * Returns whether an answer whose end only a close marks needs chunks. Without them, a large one that is cut off when this
 * process is killed would look complete, because the kernel closes its connection in order.
 */
function needsChunks({ req }: ServerResponse, { body }: HttpAnswer): boolean {
  return req.httpVersion !== '1.0' && body.length > TAKEN_AT_ONCE_BYTES;
}

function writeBadHeader(outgoing: ServerResponse): void {
  const refusal = request.createRefusal('backendFailed', { detail: 'header of the answer' });
  const { status, headers, body } = buildRefusalAnswer(refusal);
  const last = ['connection', 'close', 'content-length', String(body.length)];
  outgoing.writeHead(status, [...headers.flat(), ...last]);
  outgoing.end(body);
}
