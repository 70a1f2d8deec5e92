import type { Frame } from '@tanagerpond/wire';
import { Outcome } from '@tanagerpond/wire';
import type { request } from '@tanagerpond/core';
import type { BodyStore, BodyReference } from '../process/bodies/index.js';
import type { Counters } from '../process/metrics/index.js';
import { BodyReceiver, type BodyFault } from './BodyReceiver.js';
import { BodySender, CHUNK_BYTES } from './BodySender.js';
import { buildFrame } from './LinkStream.js';

/** Largest body that travels inside the frame of its call or answer, in bytes; one chunk. */
const INLINE_BODY_BYTES = CHUNK_BYTES;

type Body<K extends Frame['body']['case']> = Extract<Frame['body'], { case: K }>;

/** Cancelled calls of which a late answer is still accepted; beyond it the oldest is forgotten. */
const CANCELLED_CALLS = 1024;

/** Options of the calls of one stream; `now` gives monotonic milliseconds. */
export interface LinkCallsOptions {
  /** Peer at the other end. */
  readonly peer: string;
  /** This process opened the stream: it opens calls and receives answers. */
  readonly opener: boolean;
  /** The peer accepts bodies inside the frames of calls and answers. */
  readonly inlineBodies: boolean;
  readonly store: BodyStore;
  /** Largest body in bytes, in either direction. */
  readonly maxBody: number;
  readonly counters: Counters;
  readonly now: () => number;
  readonly write: (frame: Frame, done?: () => void) => void;
  /** Takes a frame whose body is complete. */
  readonly deliver: (frame: Frame) => void;
  /** Ends the stream after a violation of the protocol. */
  readonly fail: () => void;
}

/**
 * The calls that one stream carries, and their bodies. A frame for a call that the stream does not carry is dropped
 * and counted, so that no peer reaches the call of another one and no late answer reaches a new call.
 */
export class LinkCalls {
  readonly #options: LinkCallsOptions;

  readonly #sender: BodySender;

  readonly #receiver: BodyReceiver;

  readonly #carried = new Set<string>();

  readonly #cancelled = new Set<string>();

  /** Frames whose body is arriving, by call id. */
  readonly #pending = new Map<string, Frame>();

  /** @param options - The stream and where complete frames go. */
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

  /** Calls in progress on the stream. */
  get count(): number {
    return this.#carried.size + this.#sender.count;
  }

  /** Bodies that are not sent completely. */
  get unsentBodies(): number {
    return this.#sender.count;
  }

  /**
   * Sends a frame and its body.
   * @param frame - Frame of the decisions.
   * @param body - Body of an `openCall` or `answer`; released when it is sent or given up.
   */
  send(frame: Frame, body?: BodyReference): void {
    const { case: kind, value } = frame.body;
    if (kind === 'openCall') {
      this.#carried.add(value.callId);
    } else if (kind === 'cancelCall') {
      this.#sender.cancel(value.callId);
      this.#markCancelled(value.callId);
    } else if ((kind === 'answer' || kind === 'refused') && !this.#carried.delete(value.callId)) {
      this.#options.counters.count('link_reply_without_call');
      body?.release();
      return;
    }
    if (body === undefined || (kind !== 'openCall' && kind !== 'answer')) {
      this.#options.write(frame);
    } else if (this.#options.inlineBodies && body.bytes.length <= INLINE_BODY_BYTES) {
      value.body = body.bytes;
      this.#options.write(frame);
      body.release();
    } else {
      this.#options.write(frame);
      this.#sender.begin(value.callId, body);
    }
  }

  /**
   * Takes a frame of the peer.
   * @param frame - Any frame but `hello`, `ping` and `pong`.
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
   * Gives up bodies that stopped arriving.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    this.#receiver.listStalled(nowMs).forEach((callId) => {
      this.#options.counters.count('link_body_stalled');
      this.#receiver.cancel(callId);
      this.#failBody(callId, 'linkLost');
    });
  }

  /** Gives up every call; no frame is delivered any more. */
  close(): void {
    this.#sender.close();
    this.#receiver.close();
    this.#carried.clear();
    this.#cancelled.clear();
    this.#pending.clear();
  }

  #receiveCall(frame: Frame, { value }: Body<'openCall'>): void {
    const { callId } = value;
    if (this.#options.opener || callId === '' || this.#carried.has(callId)) {
      this.#drop('open_call');
      return;
    }
    const owner = this.#options.store.findOwner(callId);
    if (owner !== undefined && owner !== this.#options.peer) {
      this.#drop('foreign_call');
      this.#refuse(callId, 'requestMalformed');
      return;
    }
    this.#carried.add(callId);
    this.#beginBody(frame, value);
  }

  #receiveAnswer(frame: Frame, { value }: Body<'answer'>): void {
    const { callId } = value;
    if (!this.#carries(callId) || this.#receiver.has(callId)) {
      this.#drop('answer');
      return;
    }
    this.#sender.cancel(callId);
    this.#beginBody(frame, value);
  }

  #receiveRefused(frame: Frame, { value }: Body<'refused'>): void {
    const { callId } = value;
    if (!this.#carries(callId) || this.#receiver.has(callId)) {
      this.#drop('refused');
      return;
    }
    this.#sender.cancel(callId);
    this.#forget(callId);
    this.#options.deliver(frame);
  }

  #receiveCancel(frame: Frame, { value }: Body<'cancelCall'>): void {
    const { callId } = value;
    this.#sender.cancel(callId);
    if (this.#options.opener || !this.#carried.has(callId)) {
      this.#drop('cancel');
      return;
    }
    if (this.#receiver.cancel(callId)) {
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
      this.#forget(callId);
    }
    this.#options.deliver(frame);
  }

  /** Ends a call whose body does not arrive: the decisions never saw the call, or never see its answer. */
  #failBody(callId: string, reason: request.RefusalReason): void {
    this.#pending.delete(callId);
    if (!this.#options.opener) {
      this.#carried.delete(callId);
      this.#refuse(callId, reason);
      return;
    }
    this.#forget(callId);
    this.#options.write(buildFrame({ case: 'cancelCall', value: { callId } }));
    const seen = reason === 'linkLost' ? reason : 'answerTooLarge';
    this.#options.deliver(
      buildFrame({
        case: 'refused',
        value: { callId, reason: seen, outcome: Outcome.UNKNOWN },
      }),
    );
  }

  /** Refuses a call that the decisions never saw, so it did not run. */
  #refuse(callId: string, reason: request.RefusalReason): void {
    const seen = reason === 'linkLost' ? 'cancelled' : reason;
    this.#options.write(
      buildFrame({ case: 'refused', value: { callId, reason: seen, outcome: Outcome.NOT_RUN } }),
    );
  }

  #carries(callId: string): boolean {
    return this.#options.opener && this.#carried.has(callId);
  }

  #forget(callId: string): void {
    this.#carried.delete(callId);
    this.#cancelled.delete(callId);
  }

  #markCancelled(callId: string): void {
    if (!this.#options.opener || !this.#carried.has(callId)) {
      return;
    }
    this.#cancelled.add(callId);
    if (this.#cancelled.size > CANCELLED_CALLS) {
      const [oldest] = this.#cancelled;
      this.#receiver.cancel(oldest);
      this.#pending.delete(oldest);
      this.#forget(oldest);
    }
  }

  #drop(what: string): void {
    this.#options.counters.count(`link_dropped_${what}`);
  }
}
