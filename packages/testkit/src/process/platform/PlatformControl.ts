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

/**
 * Control endpoint by which tests control the platform, on a port of its own. `/bundle` and `/vms` publish, `/lag` sets
 * the delay of VM lists published later, `/mode` makes parts fail, `/reader` opens a listener for a VM and `/counters`
 * returns the mode and the reads.
 */
export class PlatformControl {
  readonly #platform: PlatformServer;

  readonly #server: connection.ControlServer;

  #lagMs = 0;

  constructor(platform: PlatformServer) {
    this.#platform = platform;
    this.#server = new connection.ControlServer({
      '/bundle': (body) => platform.publishBundle(body),
      '/vms': (body) => this.#publishList(listSchema.parse(JSON.parse(body))),
      '/lag': (body) => {
        this.#lagMs = lagSchema.parse(JSON.parse(body)).lagMs;
      },
      '/mode': (body) => this.#setModes(modeSchema.parse(JSON.parse(body))),
      '/reader': (body) => this.#openReader(body),
      '/counters': () => platform.snapshot(performance.now()),
    });
  }

  /** Opens the control endpoint on a free loopback port. Returns `127.0.0.1:port`. */
  async open(): Promise<string> {
    return this.#server.open();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#server[Symbol.asyncDispose]();
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
