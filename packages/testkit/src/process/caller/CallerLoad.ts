import * as crypto from 'node:crypto';
import { setMaxListeners } from 'node:events';
import * as undici from 'undici';
import * as time from '../time/index.js';
import type { CallerOptions, CallerRoute } from './callerOptions.js';
import type { AttemptResult, RequestEnd, RequestRecord } from './RequestRecord.js';
import { sendAttempt } from './sendAttempt.js';

/** The parts of a request that are the same in all its attempts. */
interface RequestPlan {
  readonly route: CallerRoute;
  readonly requestId: string;
  readonly target: string;
  readonly body: string;
}

/**
 * Open-loop load generator that simulates the callers of one workspace. Requests arrive as a Poisson process, whether
 * or not earlier ones have been answered, and are retried as a caller would.
 */
export class CallerLoad {
  readonly #options: CallerOptions;

  readonly #random: time.SeededRandom;

  readonly #agent = new undici.Agent({ connections: null, keepAliveTimeout: 60_000 });

  readonly #records: RequestRecord[] = [];

  readonly #open = new Set<Promise<void>>();

  readonly #stop = new AbortController();

  /** Makes the request ids unique, even among loads with the same name and seed. */
  readonly #prefix = crypto.randomBytes(4).toString('hex');

  #sent = 0;

  #attempts = 0;

  constructor(options: CallerOptions) {
    this.#options = options;
    this.#random = new time.SeededRandom(options.seed);
    // Each open request may listen on this signal while it waits for its next retry, so more listeners than the default
    // limit do not indicate a leak.
    setMaxListeners(0, this.#stop.signal);
  }

  get name(): string {
    return this.#options.name;
  }

  get workspace(): string {
    return this.#options.workspace;
  }

  get ratePerSecond(): number {
    return this.#options.ratePerSecond;
  }

  /** Number of requests started so far. Those that are not in `records` are still open. */
  get sent(): number {
    return this.#sent;
  }

  /** Number of attempts sent so far, including those that were answered with a ticket. */
  get attempts(): number {
    return this.#attempts;
  }

  /** Requests that have ended, in the order in which they ended. */
  get records(): readonly RequestRecord[] {
    return this.#records;
  }

  /** Sends requests for the configured duration, or until `stop`, then waits until all open requests have ended. */
  async run(): Promise<void> {
    const endMs = performance.now() + this.#options.durationMs;
    let nextMs = performance.now();
    while (nextMs < endMs && !this.#stop.signal.aborted) {
      await time.waitFor(Math.max(0, nextMs - performance.now()), this.#stop.signal);
      this.#start();
      nextMs += this.#random.pickExponential(1_000 / this.#options.ratePerSecond);
    }
    await Promise.all(this.#open);
  }

  /** Stops sending new requests. Open requests continue, but no longer wait before their retries. */
  stop(): void {
    this.#stop.abort();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop();
    await this.#agent.destroy();
    await Promise.all(this.#open);
  }

  #start(): void {
    this.#sent += 1;
    const request = this.#buildRequest();
    const running = this.#runRequest(request).finally(() => this.#open.delete(running));
    this.#open.add(running);
  }

  #buildRequest(): RequestPlan {
    const route = this.#random.pick(this.#options.routes);
    const requestId = `${this.#prefix}-${this.#options.name}-${this.#sent}`;
    const path = route.target.replaceAll(/:[^/]+/g, () =>
      String(Math.floor(this.#random.next() * 1_000)),
    );
    const filler = 'b'.repeat(this.#options.bodyBytes);
    const body = JSON.stringify({ requestId, filler, text: this.#options.bodyText });
    const hasBody = route.method !== 'GET' && route.method !== 'HEAD';
    return { route, requestId, target: path + this.#options.query, body: hasBody ? body : '' };
  }

  async #runRequest(request: RequestPlan): Promise<void> {
    const startedMs = performance.now();
    const notRunAttempts: string[] = [];
    let ticket: string | undefined;
    let mayHaveRun = false;
    let retriesLeft = this.#options.retries;
    let count = 0;
    let result: AttemptResult;
    for (;;) {
      count += 1;
      const attemptId = `${request.requestId}.${count}`;
      result = await this.#send(request, attemptId, ticket);
      if (result.end === 'refusedNotRun' && result.status !== 0) {
        notRunAttempts.push(attemptId);
      }
      const isTicketRound = result.status === 428 && result.ticket !== undefined;
      mayHaveRun ||= result.end === 'unknown';
      // Once an attempt may have run, its ticket is kept, because only the node that issued it can tell whether it ran.
      ticket = isTicketRound && !mayHaveRun ? result.ticket : ticket;
      if (!isTicketRound || count > this.#options.retries * 2 + 2) {
        retriesLeft -= 1;
        if (retriesLeft < 0 || !canRetry(request.route, result, ticket)) {
          break;
        }
        ticket = mayHaveRun ? ticket : undefined;
        await time.waitFor(
          this.#options.retryDelayMs * (0.5 + this.#random.next()),
          this.#stop.signal,
        );
      }
    }
    this.#records.push({
      requestId: request.requestId,
      workspace: this.#options.workspace,
      route: request.route.name,
      startedMs,
      endedMs: performance.now(),
      end: mergeEnd(result.end, mayHaveRun),
      status: result.status,
      reason: result.reason,
      detail: result.detail,
      attempts: count,
      notRunAttempts,
    });
  }

  async #send(
    request: RequestPlan,
    attemptId: string,
    ticket: string | undefined,
  ): Promise<AttemptResult> {
    this.#attempts += 1;
    const { key } = this.#options;
    return sendAttempt({
      entry: this.#random.pick(this.#options.entries),
      method: request.route.method,
      target: request.target,
      requestId: request.requestId,
      attemptId,
      body: request.body,
      headers: {
        ...this.#options.headers,
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        ...(ticket === undefined ? {} : { 'tanagerpond-ticket': ticket }),
      },
      timeoutMs: this.#options.timeoutMs,
      dispatcher: this.#agent,
    });
  }
}

/**
 * Returns whether a caller may retry after this result. A request whose outcome is unknown is retried only if a second
 * run is harmless or its ticket prevents one.
 */
function canRetry(route: CallerRoute, result: AttemptResult, ticket: string | undefined): boolean {
  if (result.end === 'refusedNotRun') {
    return result.status === 0 || result.status === 429 || result.status >= 500;
  }
  // Like common HTTP clients, callers also retry failures reported by a backend server (any status of 500 or more).
  const isFailure = result.end === 'failed' && result.status >= 500;
  return (
    (isFailure && route.repeatable) ||
    (result.end === 'unknown' && (route.repeatable || ticket !== undefined))
  );
}

/** Returns `unknown` for a refused request of which an earlier attempt may have run. */
function mergeEnd(end: RequestEnd, mayHaveRun: boolean): RequestEnd {
  return end === 'refusedNotRun' && mayHaveRun ? 'unknown' : end;
}
