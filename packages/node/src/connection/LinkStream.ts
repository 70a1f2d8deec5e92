import { create } from '@bufbuild/protobuf';
import { decodeBatch, encodeFrame, FrameSchema, joinFrames } from '@tanagerpond/wire';
import type { Frame } from '@tanagerpond/wire';
import type { Counters } from '../process/metrics/index.js';

/** Why a stream of a link ended. */
export type LinkEndReason =
  'ended' | 'broken' | 'silent' | 'protocol' | 'replaced' | 'idle' | 'helloTimeout' | 'stopped';

/** The part of a grpc-js stream that a link uses; one message is one encoded batch of frames. */
export interface FrameStream {
  write(bytes: Buffer, done?: () => void): unknown;
  end(): unknown;
  on(event: 'data', listener: (bytes: Buffer) => void): unknown;
  on(event: 'end' | 'error' | 'close', listener: () => void): unknown;
}

/** Options of one stream; `now` gives monotonic milliseconds. */
export interface LinkStreamOptions {
  /** Stream of encoded batches. */
  readonly stream: FrameStream;
  /** Ends the stream at once. */
  readonly abort: () => void;
  /** This process opened the stream; the opener pings. */
  readonly opener: boolean;
  readonly now: () => number;
  readonly counters: Counters;
  readonly onFrame: (frame: Frame) => void;
  readonly onClose: (end: LinkEndReason) => void;
}

/** Time without a frame in one of the directions after which the opener pings, in milliseconds. */
const PING_MS = 1_000;

/** A stream without any frame for this time is closed as silent, in milliseconds. */
export const SILENCE_TIMEOUT_MS = 3_000;

/** A longer gap between two checks means that this process was paused and the peer may have sent meanwhile. */
const PAUSE_MS = 1_500;

/**
 * Written bytes that are sent at once instead of at the end of the turn. A body chunk has this size, so that chunks are
 * handed to the transport one by one.
 */
const BATCH_BYTES = 16 * 1024;

/** Frames of one stream: codec, pings and detection of silence. Ends exactly once. */
export class LinkStream {
  readonly #options: LinkStreamOptions;

  #heardMs: number;

  #checkedMs: number;

  #wroteMs: number;

  #sequence = 0;

  #end: LinkEndReason | undefined;

  /** Encoded frames of this turn, and what to call when the transport took them. */
  #written: Uint8Array[] = [];

  #writtenBytes = 0;

  #done: (() => void)[] = [];

  /** @param options - Stream and where its frames go. */
  constructor(options: LinkStreamOptions) {
    this.#options = options;
    this.#heardMs = options.now();
    this.#checkedMs = this.#heardMs;
    this.#wroteMs = this.#heardMs;
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

  /** Monotonic time of the last frame of the peer, in milliseconds; a pause of this process counts as heard. */
  get lastFrameMs(): number {
    return this.#heardMs;
  }

  /**
   * Writes a frame. The frames of one turn of the event loop travel in one message.
   * @param frame - Frame to send; dropped when the stream has ended.
   * @param done - Called when the transport took the frame.
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
   * Checks for silence and sends the pings; to be called every half second or so.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    if (this.#end !== undefined) {
      return;
    }
    if (nowMs - this.#checkedMs > PAUSE_MS) {
      this.#heardMs = nowMs;
    }
    this.#checkedMs = nowMs;
    if (nowMs - this.#heardMs >= SILENCE_TIMEOUT_MS) {
      this.close('silent');
      return;
    }
    const quietMs = nowMs - Math.min(this.#heardMs, this.#wroteMs);
    if (this.#options.opener && quietMs >= PING_MS) {
      this.#sequence += 1;
      this.write(buildFrame({ case: 'ping', value: { sequence: this.#sequence } }));
    }
  }

  /**
   * Ends the stream. Only the first call has an effect.
   * @param end - Why it ends; `idle`, `stopped` and `ended` let written frames out first.
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
    this.#wroteMs = this.#options.now();
    this.#written = [];
    this.#writtenBytes = 0;
    this.#done = [];
    this.#options.stream.write(bytes, () => done.forEach((callback) => callback()));
  }

  #receive(bytes: Buffer): void {
    if (this.#end !== undefined) {
      return;
    }
    this.#heardMs = this.#options.now();
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
      // A newer node may send kinds of frames that this version does not know.
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
 * Creates a frame.
 * @param body - Body of the frame as plain values.
 */
export function buildFrame(body: FrameInit['body']): Frame {
  return create(FrameSchema, { body });
}

type FrameInit = NonNullable<Parameters<typeof create<typeof FrameSchema>>[1]>;
