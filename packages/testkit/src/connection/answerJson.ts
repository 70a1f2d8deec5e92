import type * as http from 'node:http';

/**
 * Collects the body of a request; rejects when the sender goes away before its end.
 * @param request - Request whose body was not read yet.
 */
export async function collectBody(request: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  // eslint-disable-next-line no-restricted-syntax -- a stream is read in order
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/**
 * Answers with JSON.
 * @param response - Response without headers so far.
 * @param status - HTTP status.
 * @param value - Value to send.
 * @param headers - Headers besides the content type.
 */
export function answerJson(
  response: http.ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  response.writeHead(status, { 'content-type': 'application/json', ...headers });
  response.end(JSON.stringify(value));
}
