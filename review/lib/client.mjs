/** Client that sends one request and reads its whole answer. */
import { request } from 'node:http';

let count = 0;
const prefix = Date.now().toString(16);

/** Returns a new request id. */
export function createId(text = 'r') {
  count += 1;
  return `${text}-${prefix}-${count}`;
}

/**
 * Sends a request and resolves with what the client saw: `status`, `body`, `complete`, `sentMs` and `endMs`, or `error`.
 */
export function send({ host, port }, options) {
  const { path, virtualHost, key, id = createId(), method = 'GET', deadlineMs = 5_000 } = options;
  const { agent, body, onAnswer } = options;
  const sentMs = performance.now();
  return new Promise((resolve) => {
    const finish = (result) => resolve({ id, sentMs, endMs: performance.now(), ...result });
    const headers = {
      host: virtualHost,
      'x-request-id': id,
      'x-request-deadline-ms': String(deadlineMs),
      ...(key === undefined ? {} : { 'api-key': key }),
      ...(body === undefined ? {} : { 'content-length': String(body.length) }),
    };
    const outgoing = request({ host, port, path, method, headers, agent: agent ?? false });
    outgoing.setTimeout(deadlineMs + 2_000, () => outgoing.destroy(new Error('no answer')));
    outgoing.once('error', (error) => finish({ error: error.code ?? error.message }));
    outgoing.once('response', (incoming) => {
      onAnswer?.(incoming);
      const chunks = [];
      incoming.on('data', (bytes) => chunks.push(bytes));
      incoming.once('error', () => undefined);
      incoming.once('close', () => {
        const { statusCode: status, complete, headers: answered } = incoming;
        finish({ status, complete, headers: answered, body: Buffer.concat(chunks) });
      });
    });
    outgoing.end(body);
  });
}
