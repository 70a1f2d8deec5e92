import * as http from 'node:http';
import * as z from 'zod';
import * as connection from '../../connection/index.js';
import { CRASH_EXIT_CODE, type BackendServer } from './BackendServer.js';

const changeSchema = z.strictObject({
  slowdown: z.number().positive().optional(),
  health: z.enum(['healthy', 'draining']).optional(),
  draining: z.boolean().optional(),
});
const egressSchema = z.object({ origin: z.string() });

/** Control endpoint of a backend server for tests, on its own port: faults, egress origin, crash, counters. */
export class BackendControl {
  readonly #backend: BackendServer;

  readonly #server: http.Server;

  constructor(backend: BackendServer) {
    this.#backend = backend;
    this.#server = http.createServer((request, response) => {
      void this.#serve(request, response);
    });
  }

  async open(): Promise<string> {
    return connection.openLoopback(this.#server);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await connection.closeServer(this.#server);
  }

  async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = (await connection.collectBody(request)).toString();
    const handlers: Record<string, () => unknown> = {
      '/faults': () => Object.assign(this.#backend.faults, changeSchema.parse(JSON.parse(body))),
      '/egress': () => this.#backend.setEgress(egressSchema.parse(JSON.parse(body)).origin),
      '/counters': () => this.#backend.snapshot(),
      // eslint-disable-next-line n/no-process-exit -- the crash is the purpose
      '/crash': () => process.exit(CRASH_EXIT_CODE),
    };
    const handler = handlers[request.url ?? ''];
    if (handler === undefined) {
      connection.answerJson(response, 404, { error: `no control ${request.url}` });
      return;
    }
    try {
      connection.answerJson(response, 200, handler() ?? {});
    } catch (error) {
      connection.answerJson(response, 400, { error: String(error) });
    }
  }
}
