import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as connection from '../../connection/index.js';
import * as time from '../time/index.js';
import type { BackendCall, BackendOptions, BackendRoute } from './backendOptions.js';
import { BackendReporter } from './BackendReporter.js';
import { callEgress } from './callEgress.js';
import { matchBackendRoute } from './matchBackendRoute.js';

/** Header of a request that crashes the process that runs it. The run is reported before the crash. */
export const CRASH_HEADER = 'x-testkit-crash';

/** Exit code of a crash (EX_SOFTWARE of sysexits.h), which distinguishes it from other exits in logs. */
export const CRASH_EXIT_CODE = 70;

const RUN_ID_BYTES = 4;

/** Faults that tests can inject. */
export interface BackendFaults {
  /** Factor by which service times are multiplied; 1 is normal. */
  slowdown: number;
  /** State that `/health` reports instead of the actual one; undefined to report the actual state. */
  health: 'healthy' | 'draining' | undefined;
  /** Whether new work is shed and, unless `health` overrides it, `/health` reports `draining`. */
  draining: boolean;
}

/** One run of a request. */
interface Work {
  readonly route: BackendRoute;
  readonly requestId: string;
  readonly attemptId: string;
  /** Distinguishes several runs of the same attempt. */
  readonly runId: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly signal: AbortSignal;
}

/**
 * Simulates a backend server of one service: it has a limited number of slots, random service times from a seed, and
 * calls other services through the egress listener of its node. Requests that find no free slot are shed.
 */
export class BackendServer {
  readonly #options: BackendOptions;

  readonly #reporter: BackendReporter;

  readonly #random: time.SeededRandom;

  readonly #server: http.Server;

  readonly #startedMs = performance.now();

  readonly #counters = { ran: 0, shed: 0, cancelled: 0 };

  #egress = '';

  #running = 0;

  readonly faults: BackendFaults = { slowdown: 1, health: undefined, draining: false };

  constructor(options: BackendOptions) {
    this.#options = options;
    this.#reporter = new BackendReporter(options);
    this.#random = new time.SeededRandom(options.seed);
    this.#server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  /** Opens the listener to which the node sends requests. Returns `127.0.0.1:port`. */
  async open(): Promise<string> {
    return connection.openLoopback(this.#server, this.#options.port);
  }

  /** Sets the origin of the egress listener of the node beside this backend server. */
  setEgress(origin: string): void {
    this.#egress = origin;
  }

  /**
   * Starts to shed new work, waits `drainMs` so that the node can notice, then waits until the running work has ended.
   */
  async drain(): Promise<void> {
    this.faults.draining = true;
    await time.waitFor(this.#options.drainMs);
    while (this.#running > 0) {
      await time.waitFor(20);
    }
  }

  snapshot(): object {
    return { ...this.#counters, running: this.#running, ...this.faults };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await connection.closeServer(this.#server);
  }

  async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    if (request.url === '/health') {
      const state = this.faults.health ?? (this.faults.draining ? 'draining' : 'healthy');
      connection.answerJson(response, 200, { state });
      return;
    }
    const body = await connection.collectBody(request);
    const route = matchBackendRoute(this.#options.routes, request.method ?? '', request.url ?? '');
    if (route === undefined) {
      connection.answerJson(response, 404, { error: 'no such route' });
      return;
    }
    if (this.faults.draining || this.#running >= this.#options.slots) {
      this.#counters.shed += 1;
      connection.answerJson(response, 503, {}, { 'tanagerpond-shed': 'not-run' });
      return;
    }
    this.#running += 1;
    try {
      await this.#run(request, response, route, body);
    } finally {
      this.#running -= 1;
    }
  }

  async #run(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    route: BackendRoute,
    body: Buffer,
  ): Promise<void> {
    const cancellation = new AbortController();
    response.once('close', () => cancellation.abort());
    const { headers } = request;
    const requestId = String(headers['x-request-id'] ?? '');
    const attemptId = String(headers['x-attempt-id'] ?? requestId);
    await this.#reporter.recordRun({ request, route, body, requestId, attemptId });
    this.#counters.ran += 1;
    if (headers[CRASH_HEADER] !== undefined) {
      // eslint-disable-next-line n/no-process-exit -- the crash is the purpose
      process.exit(CRASH_EXIT_CODE);
    }
    const deadline = Number(headers['tanagerpond-deadline-ms'] ?? Infinity);
    const signal = Number.isFinite(deadline)
      ? AbortSignal.any([cancellation.signal, AbortSignal.timeout(Math.max(1, deadline))])
      : cancellation.signal;
    const runId = crypto.randomBytes(RUN_ID_BYTES).toString('hex');
    const failure = await this.#runWork({ route, requestId, attemptId, runId, headers, signal });
    if (cancellation.signal.aborted) {
      this.#counters.cancelled += 1;
      return;
    }
    const status = failure === undefined ? 200 : 502;
    connection.answerJson(response, signal.aborted ? 504 : status, {
      requestId,
      failure,
      bodyDigest: crypto.createHash('sha256').update(body).digest('hex'),
      vm: this.#options.vm,
      filler: 'x'.repeat(this.#options.answerBytes),
    });
  }

  /**
   * Performs the work of one run: half of the service time, the outgoing calls in order, then the other half.
   * @returns Description of the first call that failed, or `deadline` if the run was aborted between calls; undefined
   * on success.
   */
  async #runWork(work: Work): Promise<string | undefined> {
    await this.#waitServiceTime(work.route.serviceMs / 2, work.signal);
    let failure: string | undefined;
    for (let index = 0; index < work.route.calls.length && failure === undefined; index++) {
      if (work.signal.aborted) {
        return 'deadline';
      }
      failure = await this.#callService(work, work.route.calls[index], index);
    }
    await this.#waitServiceTime(work.route.serviceMs / 2, work.signal);
    return failure;
  }

  async #callService(work: Work, call: BackendCall, index: number): Promise<string | undefined> {
    const suffix = `/${index}.${call.route}`;
    // A node may run a repeatable parent more than once, and the calls of each run need distinct attempt ids.
    const attemptId = `${work.attemptId}/${work.runId}${suffix}`;
    const target = call.target.replaceAll(/:[^/]+/g, () => this.#generateSegment());
    const answer = await callEgress({
      origin: this.#egress,
      method: call.method,
      target,
      requestId: work.requestId + suffix,
      attemptId,
      parent: work.headers,
      signal: work.signal,
    });
    if (answer.outcome === 'not-run') {
      await this.#reporter.recordRefusal(attemptId);
    }
    return answer.status === 200 ? undefined : `${call.route}:${answer.status}:${answer.reason}`;
  }

  #generateSegment(): string {
    return String(Math.floor(this.#random.next() * 1_000));
  }

  async #waitServiceTime(meanMs: number, signal: AbortSignal): Promise<void> {
    const isCold = performance.now() - this.#startedMs < this.#options.coldMs;
    const factor = this.faults.slowdown * (isCold ? this.#options.coldFactor : 1);
    const spread = 0.5 + this.#random.pickExponential(0.5);
    await time.waitFor(meanMs * spread * factor, signal);
  }
}
