import * as http from 'node:http';
import * as z from 'zod';
import * as connection from '../../connection/index.js';

const runSchema = z.object({
  requestId: z.string(),
  attemptId: z.string(),
  route: z.string(),
  repeatable: z.boolean(),
  workspace: z.string(),
  vm: z.string(),
  keySeen: z.boolean(),
});
const refusalSchema = z.object({ attemptId: z.string() });

/** One run of a request by a backend server, recorded before the work begins. */
export type Run = Readonly<z.infer<typeof runSchema>> & {
  /** When the collector received the report, in monotonic milliseconds of its process. */
  readonly atMs: number;
};

/** HTTP server to which backend servers report each run, so that the record of the runs survives their crashes. */
export class RunCollector {
  readonly #server: http.Server;

  readonly #runs: Run[] = [];

  readonly #runsByRequest = new Map<string, number>();

  readonly #attempts = new Set<string>();

  readonly #childRefusals: string[] = [];

  #keysSeen = 0;

  constructor() {
    this.#server = http.createServer((request, response) => {
      void this.#serve(request, response);
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  /** Opens the collector on a free loopback port. Returns `127.0.0.1:port`. */
  async open(): Promise<string> {
    return connection.openLoopback(this.#server);
  }

  /** All runs so far, in the order in which they were reported. */
  get runs(): readonly Run[] {
    return this.#runs;
  }

  /** Number of runs whose request carried text in the format of a caller key to the backend server. */
  get keysSeen(): number {
    return this.#keysSeen;
  }

  /** Lists the ids of non-repeatable requests that ran more than once. */
  listDuplicateRuns(): readonly string[] {
    return [...this.#runsByRequest].filter(([, count]) => count > 1).map(([id]) => id);
  }

  /**
   * Lists the ids of attempts that were reported as not run although a backend server ran them. The calls that backend
   * servers made themselves are included.
   * @param refused - Ids of the attempts that were reported to callers as not run.
   */
  listMisreportedAttempts(refused: readonly string[]): readonly string[] {
    return [...refused, ...this.#childRefusals].filter((id) => this.#attempts.has(id));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await connection.closeServer(this.#server);
  }

  async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    try {
      const value: unknown = JSON.parse((await connection.collectBody(request)).toString());
      if (request.url === '/refused') {
        this.#childRefusals.push(refusalSchema.parse(value).attemptId);
      } else {
        this.#record({ ...runSchema.parse(value), atMs: performance.now() });
      }
      connection.answerJson(response, 200, {});
    } catch (error) {
      connection.answerJson(response, 400, { error: String(error) });
    }
  }

  #record(run: Run): void {
    this.#runs.push(run);
    this.#attempts.add(run.attemptId);
    if (run.keySeen) {
      this.#keysSeen += 1;
    }
    if (!run.repeatable) {
      this.#runsByRequest.set(run.requestId, (this.#runsByRequest.get(run.requestId) ?? 0) + 1);
    }
  }
}
