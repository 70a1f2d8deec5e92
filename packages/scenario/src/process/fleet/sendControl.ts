import * as undici from 'undici';

/** A control endpoint that does not answer in this time belongs to a dead or frozen process. */
const CONTROL_TIMEOUT_MS = 2_000;

/**
 * Sends a command to a control endpoint and reads its JSON answer.
 * @param address - `IP:port`.
 * @param path - Path of the command.
 * @param body - Text or value to send; a GET without one.
 * @throws Error when the endpoint refuses the command.
 */
export async function sendControl(address: string, path: string, body?: unknown): Promise<unknown> {
  const answer = await undici.request(`http://${address}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    body: typeof body === 'string' || body === undefined ? (body ?? null) : JSON.stringify(body),
    signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) {
    throw new Error(`control ${path} was answered ${answer.statusCode}: ${text}`);
  }
  return JSON.parse(text);
}
