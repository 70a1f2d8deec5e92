import { create } from '@bufbuild/protobuf';
import { decodeBatch, encodeFrame, FrameSchema, joinFrames } from '@tanagerpond/wire';
import type { Frame } from '@tanagerpond/wire';
import type { Counters } from '../process/metrics/index.js';

/** Why a link ended; logged as `end` and counted as `link_end_*`. */
export type LinkEndReason =
  'ended' | 'broken' | 'silent' | 'protocol' | 'replaced' | 'idle' | 'helloTimeout' | 'stopped';

/**
 * The part of a bidirectional message stream, such as one of grpc-js, that a link uses. A message is one batch of
 * frames.
 */
export interface FrameStream {
  write(bytes: Buffer, done?: () => void): unknown;
  end(): unknown;
  on(event: 'data', listener: (bytes: Buffer) => void): unknown;
  on(event: 'end' | 'error' | 'close', listener: () => void): unknown;
}

/** Options of one stream; `now` returns the monotonic time in milliseconds. */
export interface LinkStreamOptions {
  /** Stream of encoded batches of frames. */
  readonly stream: FrameStream;
  /** Closes the stream at once; written frames may be lost. */
  readonly abort: () => void;
  /** Whether this process opened the stream; only the opener sends pings. */
  readonly opener: boolean;
  readonly now: () => number;
  /** Returns whether calls wait for an answer of the peer. */
  readonly isAwaited: () => boolean;
  readonly counters: Counters;
  readonly onFrame: (frame: Frame) => void;
  readonly onClose: (end: LinkEndReason) => void;
}

/** Time without a frame in one of the two directions after which the opener sends a ping, in milliseconds. */
const PING_MS = 1_000;

/** Time without a frame of the peer after which a stream is closed as silent, in milliseconds. */
export const SILENCE_TIMEOUT_MS = 3_000;

/**
 * Time without a frame of the peer after which the opener sends a ping, and after which it closes the stream as silent, while
 * calls wait for its answer, in milliseconds. A peer that is only busy answers a ping in this time.
 */
const AWAITED_PING_MS = 400;
const AWAITED_SILENCE_MS = 1_500;

/**
 * Gap between two checks, in milliseconds, above which this process counts as paused: the peer may have sent frames
 * meanwhile, so its silence is not judged.
 */
const PAUSE_MS = 1_500;

/**
 * Size from which a batch is sent at once instead of at the end of the turn of the event loop, in bytes. A body chunk
 * has this size, so that each chunk is passed to the transport on its own.
 */
const BATCH_BYTES = 16 * 1024;

/** Sends and receives the frames of one stream: encodes and batches them, sends pings and detects a silent peer. */
export class LinkStream {
  readonly #options: LinkStreamOptions;

  #lastFrameMs: number;

  #lastCheckMs: number;

  #lastWriteMs: number;

  #sequence = 0;

  #end: LinkEndReason | undefined;

  /** Encoded frames of the next batch; `#done` has the callbacks for when the transport has accepted it. */
  #written: Uint8Array[] = [];

  #writtenBytes = 0;

  #done: (() => void)[] = [];

  /** @param options - Stream, and the callbacks that receive its frames and its end. */
  constructor(options: LinkStreamOptions) {
    this.#options = options;
    this.#lastFrameMs = options.now();
    this.#lastCheckMs = this.#lastFrameMs;
    this.#lastWriteMs = this.#lastFrameMs;
    const { stream } = options;
    stream.on('data', (bytes: Buffer) => this.#receive(bytes));
    stream.on('end', () => this.close('ended'));
    stream.on('error', () => this.close('broken'));
    stream.on('close', () => this.close('broken'));
  }

  /** True until the stream ends. */
  get isOpen(): boolean {
    return this.#end === undefined;
  }

  /** Monotonic time of the last frame of the peer, or of the end of a later pause of this process, in milliseconds. */
  get lastFrameMs(): number {
    return this.#lastFrameMs;
  }

  /**
   * Writes a frame. The frames of one turn of the event loop are sent in one batch, larger batches at once.
   * @param frame - Frame to send; dropped when the stream has ended.
   * @param done - Called when the transport has accepted the frame; never called for a dropped frame.
   */
  write(frame: Frame, done?: () => void): void {
    if (this.#end !== undefined) {
      return;
    }
    if (this.#written.length === 0) {
      process.nextTick(() => this.#flush());
    }
    const bytes = encodeFrame(frame);
    this.#options.counters.count(`link_sent_${frame.body.case}`);
    this.#written.push(bytes);
    this.#writtenBytes += bytes.length;
    if (done !== undefined) {
      this.#done.push(done);
    }
    if (this.#writtenBytes >= BATCH_BYTES) {
      this.#flush();
    }
  }

  /**
   * Closes a silent stream and sends due pings. Must be called about every 500 ms.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    if (this.#end !== undefined) {
      return;
    }
    if (nowMs - this.#lastCheckMs > PAUSE_MS) {
      this.#lastFrameMs = nowMs;
    }
    this.#lastCheckMs = nowMs;
    const isAwaited = this.#options.opener && this.#options.isAwaited();
    const silentMs = nowMs - this.#lastFrameMs;
    if (silentMs >= (isAwaited ? AWAITED_SILENCE_MS : SILENCE_TIMEOUT_MS)) {
      this.close('silent');
      return;
    }
    const quietMs = nowMs - Math.min(this.#lastFrameMs, this.#lastWriteMs);
    const isPingDue = quietMs >= PING_MS || (isAwaited && silentMs >= AWAITED_PING_MS);
    if (this.#options.opener && isPingDue) {
      this.#sequence += 1;
      this.write(buildFrame({ case: 'ping', value: { sequence: this.#sequence } }));
    }
  }

  /**
   * Closes the stream; only the first call has an effect.
   * @param end - Why the stream ends. With `idle`, `stopped` and `ended` written frames are still sent; otherwise the
   *   stream is aborted.
   */
  close(end: LinkEndReason): void {
    if (this.#end !== undefined) {
      return;
    }
    this.#flush();
    this.#end = end;
    this.#options.counters.count(`link_end_${end}`);
    if (end === 'idle' || end === 'stopped' || end === 'ended') {
      this.#options.stream.end();
    } else {
      this.#options.abort();
    }
    this.#options.onClose(end);
  }

  #flush(): void {
    if (this.#written.length === 0) {
      return;
    }
    const bytes = joinFrames(this.#written);
    const done = this.#done;
    this.#lastWriteMs = this.#options.now();
    this.#written = [];
    this.#writtenBytes = 0;
    this.#done = [];
    this.#options.stream.write(bytes, () => done.forEach((callback) => callback()));
  }

  #receive(bytes: Buffer): void {
    if (this.#end !== undefined) {
      return;
    }
    this.#lastFrameMs = this.#options.now();
    const decoded = decodeBatch(bytes);
    if (decoded.isErr) {
      this.#options.counters.count(`link_frame_${decoded.error.fault}`);
      this.close('protocol');
      return;
    }
    decoded.value.forEach((frame) => this.#dispatch(frame));
  }

  #dispatch(frame: Frame): void {
    if (this.#end !== undefined) {
      return;
    }
    if (frame.body.case === undefined) {
      // A newer node may send frames of kinds that this version does not know.
      this.#options.counters.count('link_frame_unknown');
      return;
    }
    this.#options.counters.count(`link_received_${frame.body.case}`);
    if (frame.body.case === 'ping') {
      const { sequence } = frame.body.value;
      this.write(buildFrame({ case: 'pong', value: { sequence } }));
      return;
    }
    if (frame.body.case !== 'pong') {
      this.#options.onFrame(frame);
    }
  }
}

/**
 * Builds a frame.
 * @param body - Kind and fields of the frame.
 */
export function buildFrame(body: FrameInit['body']): Frame {
  return create(FrameSchema, { body });
}

type FrameInit = NonNullable<Parameters<typeof create<typeof FrameSchema>>[1]>;
