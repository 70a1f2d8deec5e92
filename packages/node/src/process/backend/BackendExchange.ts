import { identity } from '@tanagerpond/core';
import type { node } from '@tanagerpond/core';
import type { Dispatcher } from 'undici';
import { parseRawHeaders } from '../../request/parseRawHeaders.js';
import type { InterpretedAnswer, BackendAdapter } from '../../ports/index.js';
import { BodyBuffer } from '../bodies/index.js';
import type { BodyStore, Reservation } from '../bodies/index.js';
import { readFraming } from './readFraming.js';

/** Lowest status of a final answer; answers with lower ones are informational. */
const FIRST_FINAL_STATUS = 200;

/** Stands for the answer before its head was read. */
const NO_ANSWER: InterpretedAnswer = {
  mismatched: false,
  notRun: false,
  rateLimit: 'none',
  isLeaving: false,
  headers: [],
};

/** Options of one request to the backend server. */
export interface BackendExchangeOptions {
  readonly callId: string;
  readonly method: string;
  /** Headers of the request as the adapter wrote them. */
  readonly sent: readonly node.HeaderPair[];
  readonly adapter: BackendAdapter;
  readonly timeoutMs: number;
  /** Maximum size of the answer's body, in bytes. */
  readonly maxAnswer: number;
  readonly store: BodyStore;
  /** Returns the monotonic time in milliseconds. */
  readonly now: () => number;
  /** Called exactly once, whatever the result. A complete answer is in the store under the call id by then. */
  readonly onResult: (result: node.BackendResult) => void;
}

/**
 * One request to the backend server and its answer, as a dispatch handler of undici. Buffers the whole answer within
 * the limits and reports one result; whether a byte of the request was written separates `notSent` from the other
 * failures.
 */
export class BackendExchange implements Dispatcher.DispatchHandler {
  readonly #options: BackendExchangeOptions;

  readonly #timer: NodeJS.Timeout;

  #controller: Dispatcher.DispatchController | undefined;

  #reservation: Reservation | undefined;

  readonly #body = new BodyBuffer();

  #status = 0;

  #interpreted: InterpretedAnswer = NO_ANSWER;

  /** Monotonic time at which the head of the answer was read, in milliseconds. */
  #headMs = 0;

  #framing: node.AnswerFraming = 'close';

  #done = false;

  /** @param options - Limits, and the callback that receives the result. */
  constructor(options: BackendExchangeOptions) {
    this.#options = options;
    this.#timer = setTimeout(() => this.#expire(), options.timeoutMs);
  }

  /** Aborts the request at once with the result `cancelled`. */
  cancel(): void {
    this.#finish({ kind: 'cancelled' });
    this.#abort();
  }

  /** Called by undici directly before the first byte of the request is written. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#done) {
      this.#abort();
    }
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (this.#done || status < FIRST_FINAL_STATUS) {
      return;
    }
    const raw = parseRawHeaders(controller.rawHeaders as readonly Buffer[]);
    this.#status = status;
    this.#headMs = this.#options.now();
    this.#interpreted = this.#options.adapter.readAnswer(
      { status, headers: identity.removeConnectionHeaders(raw) },
      this.#options.sent,
    );
    if (this.#interpreted.mismatched) {
      this.#finish({ kind: 'broken' });
      this.#abort();
      return;
    }
    this.#framing = readFraming(this.#options.method, status, raw);
    const declared = Number(raw.find((header) => header[0] === 'content-length')?.[1] ?? 0);
    const expected = this.#options.method === 'HEAD' ? 0 : declared;
    if (expected > this.#options.maxAnswer) {
      this.#refuseAnswer();
      return;
    }
    this.#reservation = this.#options.store.tryReserve(expected);
    if (this.#reservation === undefined) {
      this.#refuseAnswer();
    }
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#done) {
      return;
    }
    const size = this.#body.size + chunk.length;
    const missing = size - (this.#reservation?.size ?? 0);
    const fits = missing <= 0 || this.#reservation?.tryGrow(missing) === true;
    if (size > this.#options.maxAnswer || !fits) {
      this.#refuseAnswer();
      return;
    }
    this.#body.append(chunk);
  }

  onResponseEnd(): void {
    const { callId, store } = this.#options;
    const reservation = this.#reservation;
    if (this.#done || reservation === undefined) {
      return;
    }
    if (this.#framing === 'close' && !this.#options.adapter.allowsUnframedAnswers) {
      this.#finish({ kind: 'broken' });
      return;
    }
    this.#reservation = undefined;
    store.add(callId, this.#body.takeBuffer(), reservation);
    const { headers, notRun } = this.#interpreted;
    const status = this.#status;
    const bodySize = this.#body.size;
    const framing = this.#framing;
    const notice = createNotice(this.#interpreted, this.#headMs);
    this.#finish({ kind: 'answered', status, headers, bodySize, framing, shed: notRun, notice });
  }

  onResponseError(): void {
    this.#finish({ kind: this.#controller === undefined ? 'notSent' : 'broken' });
  }

  #expire(): void {
    this.#finish({ kind: this.#controller === undefined ? 'notSent' : 'cancelled' });
    this.#abort();
  }

  #refuseAnswer(): void {
    this.#finish({ kind: 'answerTooLarge' });
    this.#abort();
  }

  #abort(): void {
    this.#controller?.abort(new Error('request to the backend server was aborted'));
  }

  #finish(result: node.BackendResult): void {
    if (this.#done) {
      return;
    }
    this.#done = true;
    clearTimeout(this.#timer);
    this.#reservation?.release();
    this.#reservation = undefined;
    this.#body.discard();
    this.#options.onResult(result);
  }
}

function createNotice(
  { rateLimit, isLeaving }: InterpretedAnswer,
  headMs: number,
): node.BackendNotice {
  return {
    headMs,
    isRateLimitMalformed: rateLimit === 'malformed',
    isLeaving,
    ...(typeof rateLimit === 'number' ? { rateLimit } : {}),
  };
}
