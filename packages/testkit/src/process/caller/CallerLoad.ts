import * as crypto from 'node:crypto';
import { setMaxListeners } from 'node:events';
import * as undici from 'undici';
import * as time from '../time/index.js';
import type { CallerOptions, CallerRoute } from './callerOptions.js';
import type { AttemptResult, RequestEnd, RequestRecord } from './RequestRecord.js';
import { sendAttempt } from './sendAttempt.js';

/** What stays the same over the attempts of one request. */
interface OwnRequest {
  readonly route: CallerRoute;
  readonly requestId: string;
  readonly target: string;
  readonly body: string;
}

/** Open-loop callers of one workspace: Poisson arrivals that do not wait for answers. */
export class CallerLoad {
  readonly #options: CallerOptions;

  readonly #random: time.SeededRandom;

  readonly #agent = new undici.Agent({ connections: null, keepAliveTimeout: 60_000 });

  readonly #records: RequestRecord[] = [];

  readonly #open = new Set<Promise<void>>();

  readonly #stop = new AbortController();

  /** Distinguishes the request ids of two loads with one name and seed. */
  readonly #prefix = crypto.randomBytes(4).toString('hex');

  #sent = 0;

  #attempts = 0;

  constructor(options: CallerOptions) {
    this.#options = options;
    this.#random = new time.SeededRandom(options.seed);
    // Every open request may wait for its next retry, so the default limit of listeners is no sign of a leak.
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

  /** Requests begun so far; the rest of `records` is still open. */
  get sent(): number {
    return this.#sent;
  }

  /** Attempts sent so far, ticket round trips included. */
  get attempts(): number {
    return this.#attempts;
  }

  /** Requests that ended, in the order of their end. */
  get records(): readonly RequestRecord[] {
    return this.#records;
  }

  /** Sends for the whole duration, then waits for the open requests. */
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

  /** Ends the arrivals; open requests still end by themselves. */
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

  #buildRequest(): OwnRequest {
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

  async #runRequest(request: OwnRequest): Promise<void> {
    const startedMs = performance.now();
    const notRunAttempts: string[] = [];
    let ticket: string | undefined;
    let isUncertain = false;
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
      isUncertain ||= result.end === 'unknown';
      // A ticket that may have run is kept: only its node can tell whether it did.
      ticket = isTicketRound && !isUncertain ? result.ticket : ticket;
      if (!isTicketRound || count > this.#options.retries * 2 + 2) {
        retriesLeft -= 1;
        if (retriesLeft < 0 || !canRetry(request.route, result, ticket)) {
          break;
        }
        ticket = isUncertain ? ticket : undefined;
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
      end: mergeEnd(result.end, isUncertain),
      status: result.status,
      reason: result.reason,
      detail: result.detail,
      attempts: count,
      notRunAttempts,
    });
  }

  async #send(
    request: OwnRequest,
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

/** An unknown request is sent again only when a second run is harmless or its ticket excludes one. */
function canRetry(route: CallerRoute, result: AttemptResult, ticket: string | undefined): boolean {
  if (result.end === 'refusedNotRun') {
    return result.status === 0 || result.status === 429 || result.status >= 500;
  }
  // Callers also retry the failures that a backend server reports, as clients do with any status of 500 and more.
  const isFailure = result.end === 'failed' && result.status >= 500;
  return (
    (isFailure && route.repeatable) ||
    (result.end === 'unknown' && (route.repeatable || ticket !== undefined))
  );
}

/** A refusal of the last attempt does not tell what became of an earlier one. */
function mergeEnd(end: RequestEnd, isUncertain: boolean): RequestEnd {
  return end === 'refusedNotRun' && isUncertain ? 'unknown' : end;
}
