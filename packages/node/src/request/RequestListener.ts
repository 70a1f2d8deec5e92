import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { identity, request } from '@tanagerpond/core';
import type { node } from '@tanagerpond/core';
import { startListening, stopListening } from '../connection/index.js';
import type { EdgeAdapter } from '../ports/index.js';
import type { BodyStore, BodyReference } from '../process/bodies/index.js';
import type { Counters, LatencyHistogram } from '../process/metrics/index.js';
import type { AddWork } from '../process/scheduling/index.js';
import { OUTCOME_HEADER } from './buildRefusalAnswer.js';
import type { HttpAnswer } from './buildRefusalAnswer.js';
import { discardBody } from './discardBody.js';
import { hasKeyPattern } from './hasKeyPattern.js';
import { parseRawHeaders } from './parseRawHeaders.js';
import { readBody } from './readBody.js';
import type { ReadBodyResult } from './readBody.js';
import { readTarget } from './readTarget.js';
import type { RequestTarget } from './readTarget.js';
import { renderAnswer, writeAnswer } from './writeAnswer.js';

/** Limits of a listener; times in milliseconds, sizes in bytes. */
export interface RequestLimits {
  readonly maxBody: number;
  readonly headerBytes: number;
  /** Time limit for the headers of a request. */
  readonly headerLimitMs: number;
  /** Time limit for a request with its body. */
  readonly requestLimitMs: number;
  /** Maximum number of open connections; further ones are dropped and counted. */
  readonly connections: number;
  /** Idle time after which a kept-alive connection is closed, in milliseconds. */
  readonly keepAliveMs: number;
}

/** Options of a listener; `now` returns the monotonic time in milliseconds. */
export interface RequestListenerOptions {
  /** Who connects: callers, or the backend server with its outgoing calls. Prefix of the counter names. */
  readonly part: 'caller' | 'egress';
  readonly limits: RequestLimits;
  readonly adapter: EdgeAdapter;
  readonly store: BodyStore;
  readonly counters: Counters;
  readonly latency: LatencyHistogram;
  readonly now: () => number;
  readonly addWork: AddWork;
  readonly buildRequestId: () => string;
  readonly publish: (message: node.NodeMessage) => void;
}

/** Request whose body has arrived; `arrivedMs` is the monotonic time of its head, in milliseconds. */
interface CompleteRequest {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly target: RequestTarget;
  readonly arrivedMs: number;
  readonly body: Extract<ReadBodyResult, { kind: 'complete' }>;
}

interface PendingRequest {
  readonly outgoing: ServerResponse;
  readonly arrivedMs: number;
}

/**
 * Header of an outgoing call that carries the token of the incoming call on whose behalf the backend server makes it.
 */
const CALL_HEADER = 'tanagerpond-call';

/** Characters that a URL allows in host and port. Later components could parse any other value as a different host. */
const HOST_PATTERN = /^[\w.~%!$&'()*+,;=:[\]-]+$/;

/** Interval of the checks of the header and request time limits, in milliseconds. */
const CHECK_MS = 1_000;

/**
 * Time that open connections have to finish when the listener closes, in milliseconds. A planned stop has waited for the
 * answers before.
 */
const CLOSE_LIMIT_MS = 300;

/**
 * Time that a client has to read the answer to a malformed request before its connection is closed, in milliseconds.
 */
const LINGER_MS = 500;

/**
 * HTTP/1.1 listener for callers, or for the outgoing calls of the backend server. Reads each request whole, publishes
 * it to the decision engine under a new request id, and writes the answer or refusal that is ordered for that id.
 */
export class RequestListener {
  readonly #options: RequestListenerOptions;

  readonly #pending = new Map<string, PendingRequest>();

  /** Responses that are not completely sent; each is added when the head of its request arrives. */
  readonly #unsentAnswers = new Set<ServerResponse>();

  /** Responses that close their connection, because malformed bytes follow their request. */
  readonly #lastAnswers = new WeakSet<ServerResponse>();

  /** Responses that are being written. */
  readonly #writing = new Map<ServerResponse, HttpAnswer>();

  readonly #server: Server;

  /** Complete requests that wait for their turn. */
  #waiting = 0;

  #draining = false;

  #isClosing = false;

  /** @param options - Limits, and the callback that receives the requests. */
  constructor(options: RequestListenerOptions) {
    this.#options = options;
    this.#server = createServer(
      {
        maxHeaderSize: options.limits.headerBytes,
        headersTimeout: options.limits.headerLimitMs,
        requestTimeout: options.limits.requestLimitMs,
        keepAliveTimeout: options.limits.keepAliveMs,
        connectionsCheckingInterval: CHECK_MS,
      },
      (incoming, outgoing) => {
        void this.#handle(incoming, outgoing);
      },
    );
    this.#server.maxConnections = options.limits.connections;
    this.#server.on('connection', (socket) => {
      socket.once('end', () => this.#endRequestsOf(socket));
      socket.once('close', () => this.#closeQueued(socket));
    });
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.#refuseMalformed(error, socket as Socket),
    );
    this.#server.on('drop', () => options.counters.count(`${options.part}_connection_dropped`));
  }

  /**
   * Starts listening.
   * @param host - IP address.
   * @param port - Port; 0 selects any free port.
   * @returns Resolves with the port in use; rejects when the address cannot be used.
   */
  listen(host: string, port: number): Promise<number> {
    return startListening(this.#server, host, port);
  }

  /** Number of complete requests that wait for an answer. */
  get pending(): number {
    return this.#pending.size + this.#waiting;
  }

  /** Number of answers that are being written, which their clients may read slowly. */
  get writing(): number {
    return this.#writing.size;
  }

  /** Makes every answer from now on close its connection. */
  drain(): void {
    this.#draining = true;
  }

  /**
   * Sends an answer of a backend server to a pending request.
   * @param requestId - Id that this listener gave the request.
   * @param answer - Status and headers; `closeDelimited` means that only the close of the connection marks the end.
   * @param body - Body of the answer; released when it is sent or the client has disconnected.
   * @returns False, with the body not released, when the listener has no such pending request.
   */
  answer(
    requestId: string,
    answer: {
      readonly status: number;
      readonly headers: readonly node.HeaderPair[];
      readonly closeDelimited: boolean;
    },
    body: BodyReference,
  ): boolean {
    const pending = this.#pending.get(requestId);
    if (pending === undefined) {
      return false;
    }
    pending.outgoing.once('close', () => body.release());
    const outcome: node.HeaderPair = ['tanagerpond-outcome', OUTCOME_HEADER.complete];
    const headers = identity.removeConnectionHeaders(answer.headers);
    this.#send(requestId, pending, {
      status: answer.status,
      headers: this.#options.adapter.writeAnswer([...headers, outcome]),
      body: body.bytes,
      closeDelimited: answer.closeDelimited,
    });
    return true;
  }

  /**
   * Sends a refusal to a pending request.
   * @param requestId - Id that this listener gave the request.
   * @param refusal - Reason, outcome and retry delay.
   * @param headers - Additional headers, such as a ticket.
   * @returns False when the listener has no such pending request.
   */
  refuse(
    requestId: string,
    refusal: request.Refusal,
    headers: readonly node.HeaderPair[],
  ): boolean {
    const pending = this.#pending.get(requestId);
    if (pending === undefined) {
      return false;
    }
    this.#options.counters.count(`${this.#options.part}_refused_${refusal.reason}`);
    this.#send(requestId, pending, this.#options.adapter.buildRefusal(refusal, headers));
    return true;
  }

  /** Stops listening and closes all connections; answers that are being written have 0.3 s to finish. */
  async [Symbol.asyncDispose](): Promise<void> {
    const startedMs = this.#options.now();
    this.#isClosing = true;
    await this.#finishWriting();
    // On close, Node.js treats a connection whose answer is still being written as idle and closes it at once.
    this.#resetUnfinished();
    const remainingMs = Math.max(0, CLOSE_LIMIT_MS - (this.#options.now() - startedMs));
    await stopListening(this.#server, () => this.#closeAll(), remainingMs);
  }

  async #finishWriting(): Promise<void> {
    const signal = AbortSignal.timeout(CLOSE_LIMIT_MS);
    const outgoing = [...this.#writing.keys()];
    await Promise.allSettled(outgoing.map((answer) => once(answer, 'close', { signal })));
  }

  #closeAll(): void {
    this.#resetUnfinished();
    this.#server.closeAllConnections();
  }

  /** Resets connections with a partly sent close-delimited answer: after an orderly close it would look complete. */
  #resetUnfinished(): void {
    this.#writing.forEach(({ closeDelimited }, { socket }) => {
      if (closeDelimited === true) {
        socket?.resetAndDestroy();
      }
    });
  }

  async #handle(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    this.#unsentAnswers.add(outgoing);
    outgoing.once('close', () => this.#unsentAnswers.delete(outgoing));
    const target = readTarget(incoming);
    if (!HOST_PATTERN.test(target.host)) {
      this.#refuseHost(outgoing);
      return;
    }
    const arrivedMs = this.#options.now();
    const { limits, store, part, counters } = this.#options;
    counters.count(`${part}_requests`);
    const body = await readBody(incoming, { maxBody: limits.maxBody, store });
    if (body.kind === 'complete') {
      this.#waiting += 1;
      this.#options.addWork(() => this.#takeTurn({ incoming, outgoing, target, arrivedMs, body }));
    } else if (body.kind !== 'gone') {
      await this.#refuseUnread(incoming, outgoing, body.kind);
    }
  }

  /** Announces a request that has waited for its turn, unless its client has left meanwhile. */
  #takeTurn(complete: CompleteRequest): void {
    const { incoming, outgoing, body } = complete;
    this.#waiting -= 1;
    if (outgoing.destroyed || hasLeft(incoming)) {
      this.#options.counters.count(`${this.#options.part}_left_before_turn`);
      body.reservation.release();
      return;
    }
    if (this.#isClosing) {
      body.reservation.release();
      this.#refuseAtClose(outgoing);
      return;
    }
    this.#announce(complete);
  }

  /** Refuses a request that was completed after the listener began to close, since its answer would be cut off. */
  #refuseAtClose(outgoing: ServerResponse): void {
    this.#options.counters.count(`${this.#options.part}_refused_leaving`);
    const refusal = request.createRefusal('leaving', { retryAfterMs: chooseRetryAfterMs() });
    writeAnswer(outgoing, this.#options.adapter.buildRefusal(refusal, []), true);
  }

  #announce({ incoming, outgoing, target, arrivedMs, body }: CompleteRequest): void {
    const { store, buildRequestId, publish, part } = this.#options;
    const requestId = buildRequestId();
    const all = this.#options.adapter.readRequest(
      replaceHost(parseRawHeaders(incoming.rawHeaders), target),
    );
    const arrived = {
      requestId,
      method: incoming.method ?? '',
      target: target.path,
      headers: all,
      bodySize: body.bytes.length,
      bodyDigest: body.digest,
      bodyHasKey: hasKeyPattern(body.bytes),
      arrivedMs,
    };
    store.add(requestId, body.bytes, body.reservation);
    this.#pending.set(requestId, { outgoing, arrivedMs });
    outgoing.once('close', () => this.#endRequest(requestId));
    if (part === 'caller') {
      publish({ kind: 'callerRequest', request: arrived });
      return;
    }
    const callToken = all.find(([name]) => name === CALL_HEADER)?.[1] ?? '';
    const headers = all.filter(([name]) => name !== CALL_HEADER);
    publish({ kind: 'egressRequest', request: { ...arrived, headers }, callToken });
  }

  /** Publishes `requesterGone` when a connection closes while its request is still pending. */
  #endRequest(requestId: string): void {
    if (this.#pending.delete(requestId)) {
      this.#options.counters.count(`${this.#options.part}_requester_gone`);
      this.#options.publish({ kind: 'requesterGone', requestId });
    }
  }

  /**
   * Ends the pending requests of a client that has closed its side. Node.js then closes the connection, but the `close`
   * event comes turns later, in which the requests could still be passed on.
   */
  #endRequestsOf(socket: Socket): void {
    [...this.#pending]
      .filter(([, { outgoing }]) => outgoing.req.socket === socket)
      .forEach(([requestId]) => this.#endRequest(requestId));
  }

  async #refuseUnread(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    kind: 'tooLarge' | 'buffersFull',
  ): Promise<void> {
    const reason = kind === 'tooLarge' ? 'bodyTooLarge' : 'buffersFull';
    this.#options.counters.count(`${this.#options.part}_refused_${reason}`);
    const extra =
      kind === 'tooLarge'
        ? { detail: `largest body ${this.#options.limits.maxBody} bytes` }
        : { retryAfterMs: chooseRetryAfterMs() };
    await discardBody(incoming);
    const refusal = request.createRefusal(reason, extra);
    writeAnswer(outgoing, this.#options.adapter.buildRefusal(refusal, []), true);
  }

  #send(requestId: string, pending: PendingRequest, answer: HttpAnswer): void {
    const { outgoing } = pending;
    this.#pending.delete(requestId);
    this.#writing.set(outgoing, answer);
    outgoing.once('close', () => this.#writing.delete(outgoing));
    this.#options.latency.record(this.#options.now() - pending.arrivedMs);
    writeAnswer(outgoing, answer, this.#draining || this.#lastAnswers.has(outgoing));
  }

  #refuseHost(outgoing: ServerResponse): void {
    this.#options.counters.count(`${this.#options.part}_malformed`);
    const refusal = request.createRefusal('requestMalformed', { detail: 'host' });
    writeAnswer(outgoing, this.#options.adapter.buildRefusal(refusal, []), true);
  }

  #refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    this.#options.counters.count(`${this.#options.part}_malformed`);
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    if (this.#closeAfterAnswer(socket)) {
      return;
    }
    const answer = this.#options.adapter.buildRefusal(
      request.createRefusal('requestMalformed', { detail: error.code }),
      [],
    );
    socket.end(renderAnswer(answer));
    setTimeout(() => socket.destroy(), LINGER_MS).unref();
  }

  /**
   * Emits `close` on the responses to pipelined requests of a closed connection. Node.js closes only the response that
   * is being sent, not those queued behind it.
   */
  #closeQueued(socket: Socket): void {
    [...this.#unsentAnswers]
      .filter((outgoing) => outgoing.socket === null && outgoing.req.socket === socket)
      .forEach((outgoing) => outgoing.emit('close'));
  }

  /**
   * Makes the newest pending answer of a connection the last one, and returns false when no answer is pending. The
   * client would read a refusal that is sent now as the answer to that earlier request.
   */
  #closeAfterAnswer(socket: Socket): boolean {
    const newest = [...this.#unsentAnswers].findLast(
      ({ req }) => req.complete && req.socket === socket,
    );
    if (newest === undefined) {
      return false;
    }
    this.#lastAnswers.add(newest);
    return true;
  }
}

/** Puts the host of a target in absolute form into the header; a repeated header stays repeated. */
function replaceHost(
  headers: readonly node.HeaderPair[],
  { host, isAbsolute }: RequestTarget,
): readonly node.HeaderPair[] {
  return isAbsolute
    ? headers.map((header) => (header[0] === 'host' ? ['host', host] : header))
    : headers;
}

/** Returns whether the client has closed its connection or its sending side; Node.js then ends the connection. */
function hasLeft({ socket }: IncomingMessage): boolean {
  return socket.destroyed || socket.readableEnded;
}

/** Returns a jittered retry delay for a caller that this listener itself refuses, in milliseconds. */
function chooseRetryAfterMs(): number {
  return 500 + Math.random() * 1_000;
}
