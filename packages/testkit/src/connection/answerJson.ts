import type * as http from 'node:http';

/**
 * Reads the whole body of a request. Rejects if the connection is closed before the end of the body.
 * @param request - Request whose body has not been read yet.
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
 * Sends a complete JSON response.
 * @param response - Response whose headers have not been sent.
 * @param status - HTTP status.
 * @param value - Value to send.
 * @param headers - Headers in addition to the content type.
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
