import * as undici from 'undici';

/** Time-out of a control command; a process that takes longer is dead or frozen. */
const CONTROL_TIMEOUT_MS = 2_000;

/**
 * Sends a command to a control endpoint and returns the parsed JSON of its answer.
 * @param address - `IP:port` of the endpoint.
 * @param path - Path of the command.
 * @param body - Body of a POST request, as text or as a value to send as JSON; without it, a GET request is sent.
 * @throws Error if the endpoint cannot be reached, does not answer within 2 s or refuses the command.
 */
export async function sendControl(address: string, path: string, body?: unknown): Promise<unknown> {
  const answer = await undici.request(`http://${address}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    body: typeof body === 'string' || body === undefined ? (body ?? null) : JSON.stringify(body),
    signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) {
    throw new Error(`control command ${path} failed with status ${answer.statusCode}: ${text}`);
  }
  return JSON.parse(text);
}
