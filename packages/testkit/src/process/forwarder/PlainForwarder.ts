import * as http from 'node:http';
import * as undici from 'undici';
import * as connection from '../../connection/index.js';
import * as time from '../time/index.js';

/** Options of `PlainForwarder`. */
export interface ForwarderOptions {
  /** Addresses of the backend servers, `IP:port`, by service. */
  readonly backends: Readonly<Record<string, readonly string[]>>;
  /** Seed for the choice of backend servers. */
  readonly seed: number;
  /** Maximum number of retries after any status of 500 or more, without regard to retries at other hops. */
  readonly retries: number;
}

/**
 * Forwarder of the baseline, without overload control: sends each request to a random backend server of its service and
 * retries at once, without limits, tickets, deadlines or knowledge of what the other hops do.
 */
export class PlainForwarder {
  readonly #options: ForwarderOptions;

  readonly #random: time.SeededRandom;

  readonly #server: http.Server;

  readonly #agent = new undici.Agent({ connections: null, keepAliveTimeout: 60_000 });

  constructor(options: ForwarderOptions) {
    this.#options = options;
    this.#random = new time.SeededRandom(options.seed);
    this.#server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  /** Opens the forwarder on a free loopback port. Returns `127.0.0.1:port`. */
  async open(): Promise<string> {
    return connection.openLoopback(this.#server);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#agent.destroy();
    await connection.closeServer(this.#server);
  }

  async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await connection.collectBody(request);
    const [, service = '', ...rest] = (request.url ?? '/').split('/');
    const backends = this.#options.backends[service];
    if (backends === undefined) {
      connection.answerJson(response, 404, { error: 'no such service' });
      return;
    }
    const cancellation = new AbortController();
    response.once('close', () => cancellation.abort());
    for (let attempt = 0; ; attempt++) {
      const answer = await this.#forward(
        request,
        backends,
        rest.join('/'),
        body,
        cancellation.signal,
      );
      const isLast = attempt >= this.#options.retries || cancellation.signal.aborted;
      if (answer.status < 500 || isLast) {
        response.writeHead(answer.status, answer.headers).end(answer.text);
        return;
      }
    }
  }

  async #forward(
    request: http.IncomingMessage,
    backends: readonly string[],
    path: string,
    body: Buffer,
    signal: AbortSignal,
  ): Promise<{ status: number; headers: Record<string, string>; text: string }> {
    const {
      authorization,
      host,
      connection: hop,
      'content-length': length,
      ...headers
    } = request.headers;
    try {
      const answer = await undici.request(`http://${this.#random.pick(backends)}/${path}`, {
        method: request.method as undici.Dispatcher.HttpMethod,
        headers,
        body: body.length === 0 ? null : body,
        dispatcher: this.#agent,
        signal,
      });
      return {
        status: answer.statusCode,
        headers: buildAnswerHeaders(answer.statusCode, answer.headers),
        text: await answer.body.text(),
      };
    } catch {
      return { status: 502, headers: { 'tanagerpond-outcome': 'unknown' }, text: '{}' };
    }
  }
}

/** Adds the outcome header that a node would set, so that callers classify answers of the baseline in the same way. */
function buildAnswerHeaders(
  status: number,
  headers: Readonly<Record<string, unknown>>,
): Record<string, string> {
  if (headers['tanagerpond-shed'] === 'not-run') {
    return { 'tanagerpond-outcome': 'not-run' };
  }
  return status >= 500 ? { 'tanagerpond-outcome': 'unknown' } : {};
}
