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
import { OUTCOME_HEADER } from './buildRefusalAnswer.js';
import type { HttpAnswer } from './buildRefusalAnswer.js';
import { discardBody } from './discardBody.js';
import { hasKeyPattern } from './hasKeyPattern.js';
import { parseRawHeaders } from './parseRawHeaders.js';
import { readBody } from './readBody.js';
import type { ReadBodyResult } from './readBody.js';
import { renderAnswer, writeAnswer } from './writeAnswer.js';

/** Limits of a listener; times in milliseconds, sizes in bytes. */
export interface RequestLimits {
  readonly maxBody: number;
  readonly headerBytes: number;
  readonly headerLimitMs: number;
  readonly requestLimitMs: number;
  readonly connections: number;
  /** Idle time after which a kept-alive connection is closed, in milliseconds. */
  readonly keepAliveMs: number;
}

/** Options of a listener; `now` gives monotonic milliseconds. */
export interface RequestListenerOptions {
  readonly part: 'caller' | 'egress';
  readonly limits: RequestLimits;
  readonly adapter: EdgeAdapter;
  readonly store: BodyStore;
  readonly counters: Counters;
  readonly latency: LatencyHistogram;
  readonly now: () => number;
  readonly buildRequestId: () => string;
  readonly publish: (message: node.NodeMessage) => void;
}

interface PendingRequest {
  readonly outgoing: ServerResponse;
  readonly arrivedMs: number;
}

/** Header by which a backend server names the call that an outgoing call belongs to. */
const CALL_HEADER = 'tanagerpond-call';

/** Host and port as a URL may have them; anything else could be read as another host further on. */
const HOST_PATTERN = /^[\w.~%!$&'()*+,;=:[\]-]+$/;

/** Time between two checks of the header and request time limits, in milliseconds. */
const CHECK_MS = 1_000;

/** Time for connections to finish when the listener closes, in milliseconds. */
const CLOSE_LIMIT_MS = 1_000;

/** Time for a client to read the answer to a malformed request before its connection is cut, in milliseconds. */
const LINGER_MS = 500;

/** HTTP/1.1 listener for callers, or for the outgoing calls of the backend server. */
export class RequestListener {
  readonly #options: RequestListenerOptions;

  readonly #pending = new Map<string, PendingRequest>();

  /** Answers that are not sent completely, from the head of their request on. */
  readonly #unsent = new Set<ServerResponse>();

  /** Answers to requests that malformed bytes follow; they close their connections. */
  readonly #last = new WeakSet<ServerResponse>();

  /** Answers that are being written. */
  readonly #writing = new Map<ServerResponse, HttpAnswer>();

  readonly #server: Server;

  #draining = false;

  /** @param options - Limits and where requests go. */
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
    this.#server.on('connection', (socket) =>
      socket.once('close', () => this.#closeQueued(socket)),
    );
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.#refuseMalformed(error, socket as Socket),
    );
    this.#server.on('drop', () => options.counters.count(`${options.part}_connection_dropped`));
  }

  /**
   * Begins to listen.
   * @param host - IP address.
   * @param port - Port; 0 for any free one.
   * @returns The port in use. Rejects when the address cannot be used.
   */
  listen(host: string, port: number): Promise<number> {
    return startListening(this.#server, host, port);
  }

  /** Requests that wait for an answer. */
  get pending(): number {
    return this.#pending.size;
  }

  /** From now on, every answer closes its connection. */
  drain(): void {
    this.#draining = true;
  }

  /**
   * Answers a request.
   * @param requestId - Request of this listener.
   * @param answer - Status and headers of the answer, and whether its end is proved by nothing but a close.
   * @param body - Body of the answer; released when it is sent or the client is gone.
   * @returns False when the listener has no such request.
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
   * Refuses a request.
   * @param requestId - Request of this listener.
   * @param refusal - Refusal of the decisions.
   * @param headers - Further headers, such as a ticket.
   * @returns False when the listener has no such request.
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

  /** Stops listening; connections get a second to finish. */
  async [Symbol.asyncDispose](): Promise<void> {
    const startedMs = this.#options.now();
    await this.#finishWriting();
    // The library takes a connection for idle while an answer is still being written, and closes it at once.
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

  /** An orderly close would make a part of a close-delimited answer look like the whole. */
  #resetUnfinished(): void {
    this.#writing.forEach(({ closeDelimited }, { socket }) => {
      if (closeDelimited === true) {
        socket?.resetAndDestroy();
      }
    });
  }

  async #handle(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    this.#unsent.add(outgoing);
    outgoing.once('close', () => this.#unsent.delete(outgoing));
    if (!HOST_PATTERN.test(incoming.headers.host ?? '')) {
      this.#refuseHost(outgoing);
      return;
    }
    const arrivedMs = this.#options.now();
    const { limits, store, part, counters } = this.#options;
    counters.count(`${part}_requests`);
    const body = await readBody(incoming, { maxBody: limits.maxBody, store });
    if (body.kind === 'complete' && !outgoing.destroyed) {
      this.#announce(incoming, outgoing, arrivedMs, body);
      return;
    }
    if (body.kind === 'complete') {
      body.reservation.release();
    } else if (body.kind !== 'gone') {
      await this.#refuseUnread(incoming, outgoing, body.kind);
    }
  }

  #announce(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    arrivedMs: number,
    body: Extract<ReadBodyResult, { kind: 'complete' }>,
  ): void {
    const { store, buildRequestId, publish, part } = this.#options;
    const requestId = buildRequestId();
    const all = this.#options.adapter.readRequest(parseRawHeaders(incoming.rawHeaders));
    const arrived = {
      requestId,
      method: incoming.method ?? '',
      target: incoming.url ?? '',
      headers: all,
      bodySize: body.bytes.length,
      bodyDigest: body.digest,
      bodyHasKey: hasKeyPattern(body.bytes),
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

  #endRequest(requestId: string): void {
    if (this.#pending.delete(requestId)) {
      this.#options.counters.count(`${this.#options.part}_requester_gone`);
      this.#options.publish({ kind: 'requesterGone', requestId });
    }
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
    writeAnswer(outgoing, answer, this.#draining || this.#last.has(outgoing));
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

  /** The library closes only the answer whose turn it is, not those of pipelined requests behind it. */
  #closeQueued(socket: Socket): void {
    [...this.#unsent]
      .filter((outgoing) => outgoing.socket === null && outgoing.req.socket === socket)
      .forEach((outgoing) => outgoing.emit('close'));
  }

  /** Tells whether an earlier request of the connection is still to be answered, as whose answer a refusal would be read. */
  #closeAfterAnswer(socket: Socket): boolean {
    const newest = [...this.#unsent].findLast(({ req }) => req.complete && req.socket === socket);
    if (newest === undefined) {
      return false;
    }
    this.#last.add(newest);
    return true;
  }
}

/** Time after which a caller may come back when the buffers are full, in milliseconds; jittered. */
function chooseRetryAfterMs(): number {
  return 500 + Math.random() * 1_000;
}
