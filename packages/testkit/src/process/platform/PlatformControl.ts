import * as http from 'node:http';
import * as z from 'zod';
import * as connection from '../../connection/index.js';
import type { PlatformServer, PublishedList } from './PlatformServer.js';

const modeSchema = z.object({
  parts: z.array(z.enum(['bundle', 'list'])),
  mode: z.enum(['normal', 'stale', 'silent', 'down']),
});
const lagSchema = z.object({ lagMs: z.number().min(0) });
const listSchema = z.object({
  vms: z.array(
    z.object({
      name: z.string(),
      service: z.string(),
      failureDomain: z.string(),
      peerAddress: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
  addresses: z.record(z.string(), z.record(z.string(), z.string())).optional(),
});

/** Control endpoint of the platform for tests, on its own port: bundle, vms, lag, mode, reader, counters. */
export class PlatformControl {
  readonly #platform: PlatformServer;

  readonly #server: http.Server;

  #lagMs = 0;

  constructor(platform: PlatformServer) {
    this.#platform = platform;
    this.#server = http.createServer((request, response) => {
      void this.#serve(request, response);
    });
  }

  /** Opens the control port. */
  async open(): Promise<string> {
    return connection.openLoopback(this.#server);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await connection.closeServer(this.#server);
  }

  async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = (await connection.collectBody(request)).toString();
    const handlers: Record<string, () => unknown> = {
      '/bundle': () => this.#platform.publishBundle(body),
      '/vms': () => this.#publishList(listSchema.parse(JSON.parse(body))),
      '/lag': () => {
        this.#lagMs = lagSchema.parse(JSON.parse(body)).lagMs;
      },
      '/mode': () => this.#setModes(modeSchema.parse(JSON.parse(body))),
      '/reader': () => this.#openReader(body),
      '/counters': () => this.#platform.snapshot(performance.now()),
    };
    const handler = handlers[request.url ?? ''];
    if (handler === undefined) {
      connection.answerJson(response, 404, { error: `no control ${request.url}` });
      return;
    }
    try {
      connection.answerJson(response, 200, (await handler()) ?? {});
    } catch (error) {
      connection.answerJson(response, 400, { error: String(error) });
    }
  }

  #setModes({ parts, mode }: z.infer<typeof modeSchema>): void {
    parts.forEach((part) => this.#platform.setMode(part, mode));
  }

  #publishList(list: PublishedList): void {
    this.#platform.publishList(list, this.#lagMs);
  }

  async #openReader(reader: string): Promise<object> {
    return { address: await this.#platform.open(reader) };
  }
}
