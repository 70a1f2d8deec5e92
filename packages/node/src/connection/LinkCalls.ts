import type { Frame } from '@tanagerpond/wire';
import { Outcome } from '@tanagerpond/wire';
import type { request } from '@tanagerpond/core';
import type { BodyStore, BodyReference } from '../process/bodies/index.js';
import type { Counters } from '../process/metrics/index.js';
import type { AddWork } from '../process/scheduling/index.js';
import { BodyReceiver, type BodyFault } from './BodyReceiver.js';
import { BodySender, CHUNK_BYTES } from './BodySender.js';
import { buildFrame } from './LinkStream.js';
import { shortenDeadline } from './shortenDeadline.js';

/** Maximum size of a body that is sent inside the frame of its call or answer, in bytes. */
const MAX_INLINE_BODY_BYTES = CHUNK_BYTES;

type Body<K extends Frame['body']['case']> = Extract<Frame['body'], { case: K }>;

/** Maximum number of cancelled calls whose late answers are still accepted; beyond it the oldest is removed. */
const MAX_CANCELLED_CALLS = 1024;

/** Options of the calls of one stream; `now` returns the monotonic time in milliseconds. */
export interface LinkCallsOptions {
  /** Peer at the other end. */
  readonly peer: string;
  /**
   * Whether this process opened the stream. The opener sends calls and receives answers; the other end does the
   * reverse.
   */
  readonly opener: boolean;
  /** Whether the peer accepts bodies inside the frames of calls and answers. */
  readonly inlineBodies: boolean;
  readonly store: BodyStore;
  /** Maximum size of a received body, in bytes. */
  readonly maxBody: number;
  readonly counters: Counters;
  readonly now: () => number;
  readonly addWork: AddWork;
  readonly write: (frame: Frame, done?: () => void) => void;
  /** Receives each frame of the peer whose body is complete and stored. */
  readonly deliver: (frame: Frame) => void;
  /** Closes the stream after a protocol violation. */
  readonly fail: () => void;
}

/**
 * Tracks the calls of one stream and transfers their bodies. A frame for a call that is not in progress on this stream
 * is dropped and counted, so that a peer cannot affect the calls of another peer and a late answer cannot reach a new
 * call.
 */
export class LinkCalls {
  readonly #options: LinkCallsOptions;

  readonly #sender: BodySender;

  readonly #receiver: BodyReceiver;

  readonly #active = new Set<string>();

  readonly #cancelled = new Set<string>();

  /** Frames of complete calls that wait for their turn, by call id. */
  readonly #waiting = new Map<string, Frame>();

  /** Frames whose body is being received, by call id. */
  readonly #pending = new Map<string, Frame>();

  /** @param options - The stream, limits, and the callback that receives complete frames. */
  constructor(options: LinkCallsOptions) {
    this.#options = options;
    this.#sender = new BodySender((callId, offset, data, done) => {
      options.write(buildFrame({ case: 'bodyChunk', value: { callId, offset, data } }), done);
    });
    this.#receiver = new BodyReceiver({
      store: options.store,
      maxBody: options.maxBody,
      grant: (callId, bytes) =>
        options.write(buildFrame({ case: 'windowUpdate', value: { callId, bytes } })),
    });
  }

  /** Number of calls in progress and of bodies that are not completely sent. */
  get count(): number {
    return this.#active.size + this.#sender.count;
  }

  /** Number of bodies that are not completely sent. */
  get unsentBodies(): number {
    return this.#sender.count;
  }

  /**
   * Sends a frame and its body. An answer or refusal for a call that is not in progress is dropped and counted.
   * @param frame - Frame of the decision engine.
   * @param body - Body of an `openCall` or `answer`; released when it is sent or dropped.
   */
  send(frame: Frame, body?: BodyReference): void {
    const { case: kind, value } = frame.body;
    if (kind === 'openCall') {
      this.#active.add(value.callId);
    } else if (kind === 'cancelCall') {
      this.#sender.cancel(value.callId);
      this.#markCancelled(value.callId);
    } else if ((kind === 'answer' || kind === 'refused') && !this.#active.delete(value.callId)) {
      this.#options.counters.count('link_reply_without_call');
      body?.release();
      return;
    }
    if (body === undefined || (kind !== 'openCall' && kind !== 'answer')) {
      this.#options.write(frame);
    } else if (this.#options.inlineBodies && body.bytes.length <= MAX_INLINE_BODY_BYTES) {
      value.body = body.bytes;
      this.#options.write(frame);
      body.release();
    } else {
      this.#options.write(frame);
      this.#sender.begin(value.callId, body);
    }
  }

  /**
   * Handles a frame of the peer.
   * @param frame - Any frame except `hello`, `ping` and `pong`.
   */
  receive(frame: Frame): void {
    const { body } = frame;
    switch (body.case) {
      case 'bodyChunk':
        this.#receiveChunk(body);
        break;
      case 'windowUpdate':
        this.#sender.acceptWindowUpdate(body.value.callId, body.value.bytes);
        break;
      case 'openCall':
        this.#receiveCall(frame, body);
        break;
      case 'cancelCall':
        this.#receiveCancel(frame, body);
        break;
      case 'answer':
        this.#receiveAnswer(frame, body);
        break;
      case 'refused':
        this.#receiveRefused(frame, body);
        break;
      default:
        this.#options.deliver(frame);
    }
  }

  /**
   * Ends the calls whose bodies have stalled.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    this.#receiver.listStalled(nowMs).forEach((callId) => {
      this.#options.counters.count('link_body_stalled');
      this.#receiver.cancel(callId);
      this.#failBody(callId, 'linkLost');
    });
  }

  /** Drops every call and releases the bodies; later chunks of them are not delivered. */
  close(): void {
    this.#sender.close();
    this.#receiver.close();
    this.#active.clear();
    this.#cancelled.clear();
    this.#pending.clear();
    [...this.#waiting.keys()].forEach((callId) => this.#dropWaiting(callId));
  }

  #receiveCall(frame: Frame, { value }: Body<'openCall'>): void {
    const { callId } = value;
    if (this.#options.opener || callId === '' || this.#active.has(callId)) {
      this.#drop('open_call');
      return;
    }
    const owner = this.#options.store.findOwner(callId);
    if (owner !== undefined && owner !== this.#options.peer) {
      this.#drop('foreign_call');
      this.#refuse(callId, 'requestMalformed');
      return;
    }
    this.#active.add(callId);
    this.#beginBody(frame, value);
  }

  #receiveAnswer(frame: Frame, { value }: Body<'answer'>): void {
    const { callId } = value;
    if (!this.#isAwaitingAnswer(callId) || this.#receiver.has(callId)) {
      this.#drop('answer');
      return;
    }
    this.#sender.cancel(callId);
    this.#beginBody(frame, value);
  }

  #receiveRefused(frame: Frame, { value }: Body<'refused'>): void {
    const { callId } = value;
    if (!this.#isAwaitingAnswer(callId) || this.#receiver.has(callId)) {
      this.#drop('refused');
      return;
    }
    this.#sender.cancel(callId);
    this.#remove(callId);
    this.#options.deliver(frame);
  }

  #receiveCancel(frame: Frame, { value }: Body<'cancelCall'>): void {
    const { callId } = value;
    this.#sender.cancel(callId);
    if (this.#options.opener || !this.#active.has(callId)) {
      this.#drop('cancel');
      return;
    }
    if (this.#receiver.cancel(callId) || this.#dropWaiting(callId)) {
      this.#failBody(callId, 'cancelled');
      return;
    }
    this.#options.deliver(frame);
  }

  #beginBody(frame: Frame, value: Body<'openCall' | 'answer'>['value']): void {
    const { callId, bodySize } = value;
    if (value.body.length > 0) {
      this.#takeInlineBody(frame, value);
      return;
    }
    if (bodySize === 0) {
      this.#complete(callId, frame, Buffer.alloc(0));
      return;
    }
    const begun = this.#receiver.begin(callId, bodySize, this.#options.now());
    if (begun === 'begun') {
      this.#pending.set(callId, frame);
      return;
    }
    this.#refuseBody(callId, begun);
  }

  #takeInlineBody(frame: Frame, value: Body<'openCall' | 'answer'>['value']): void {
    const { callId, bodySize, body } = value;
    if (body.length !== bodySize) {
      this.#options.counters.count('link_chunk_fault');
      this.#options.fail();
      return;
    }
    const result = this.#receiver.receiveInline(body);
    if (typeof result === 'string') {
      this.#refuseBody(callId, result);
      return;
    }
    this.#complete(callId, frame, result.bytes, result.reservation);
  }

  #refuseBody(callId: string, fault: BodyFault): void {
    this.#options.counters.count(`link_body_refused_${fault === 'tooLarge' ? 'size' : 'budget'}`);
    this.#failBody(callId, fault === 'tooLarge' ? 'bodyTooLarge' : 'buffersFull');
  }

  #receiveChunk({ value }: Body<'bodyChunk'>): void {
    const { callId, offset, data } = value;
    const result = this.#receiver.receive(callId, offset, data, this.#options.now());
    if (result.kind === 'unknown') {
      this.#drop('chunk');
    } else if (result.kind === 'fault') {
      this.#options.counters.count('link_chunk_fault');
      this.#options.fail();
    } else if (result.kind === 'complete') {
      const frame = this.#pending.get(callId);
      this.#pending.delete(callId);
      if (frame !== undefined) {
        this.#complete(callId, frame, result.bytes, result.reservation);
      }
    }
  }

  #complete(
    callId: string,
    frame: Frame,
    bytes: Buffer,
    reservation = this.#options.store.tryReserve(0),
  ): void {
    if (reservation !== undefined) {
      const { store, opener, peer } = this.#options;
      store.add(callId, bytes, reservation, opener ? undefined : peer);
    }
    if (this.#options.opener) {
      this.#remove(callId);
      this.#options.deliver(frame);
      return;
    }
    this.#waiting.set(callId, frame);
    this.#options.addWork((waitedMs) => this.#takeTurn(callId, frame, waitedMs));
  }

  /** Delivers a call that has waited for its turn, unless it was cancelled meanwhile. */
  #takeTurn(callId: string, frame: Frame, waitedMs: number): void {
    if (this.#waiting.get(callId) !== frame) {
      return;
    }
    this.#waiting.delete(callId);
    shortenDeadline(frame, waitedMs);
    this.#options.deliver(frame);
  }

  #dropWaiting(callId: string): boolean {
    const isWaiting = this.#waiting.delete(callId);
    if (isWaiting) {
      this.#options.store.release(callId);
    }
    return isWaiting;
  }

  /**
   * Ends a call whose body was not received completely. The end that receives calls refuses the call, which the
   * decision engine has not seen. The opener cancels the call and delivers a refusal in place of the answer.
   */
  #failBody(callId: string, reason: request.RefusalReason): void {
    this.#pending.delete(callId);
    if (!this.#options.opener) {
      this.#active.delete(callId);
      this.#refuse(callId, reason);
      return;
    }
    this.#remove(callId);
    this.#options.write(buildFrame({ case: 'cancelCall', value: { callId } }));
    const reportedReason = reason === 'linkLost' ? reason : 'answerTooLarge';
    this.#options.deliver(
      buildFrame({
        case: 'refused',
        value: { callId, reason: reportedReason, outcome: Outcome.UNKNOWN },
      }),
    );
  }

  /** Refuses a call that the decision engine has not seen, so the call did not run. */
  #refuse(callId: string, reason: request.RefusalReason): void {
    const reportedReason = reason === 'linkLost' ? 'cancelled' : reason;
    this.#options.write(
      buildFrame({
        case: 'refused',
        value: { callId, reason: reportedReason, outcome: Outcome.NOT_RUN },
      }),
    );
  }

  #isAwaitingAnswer(callId: string): boolean {
    return this.#options.opener && this.#active.has(callId);
  }

  #remove(callId: string): void {
    this.#active.delete(callId);
    this.#cancelled.delete(callId);
  }

  #markCancelled(callId: string): void {
    if (!this.#options.opener || !this.#active.has(callId)) {
      return;
    }
    this.#cancelled.add(callId);
    if (this.#cancelled.size > MAX_CANCELLED_CALLS) {
      const [oldest] = this.#cancelled;
      this.#receiver.cancel(oldest);
      this.#pending.delete(oldest);
      this.#remove(oldest);
    }
  }

  #drop(what: string): void {
    this.#options.counters.count(`link_dropped_${what}`);
  }
}
