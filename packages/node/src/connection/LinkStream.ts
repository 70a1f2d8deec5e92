import { create } from '@bufbuild/protobuf';
import { decodeFrame, encodeFrame, FrameSchema } from '@tanagerpond/wire';
import type { Frame } from '@tanagerpond/wire';
import type { Counters } from '../process/metrics/index.js';

/** Why a stream of a link ended. */
export type LinkEnd =
  'ended' | 'broken' | 'silent' | 'protocol' | 'replaced' | 'idle' | 'helloTimeout' | 'stopped';

/** The part of a grpc-js stream that a link uses; one message is one encoded frame. */
export interface FrameStream {
  write(bytes: Buffer, done?: () => void): unknown;
  end(): unknown;
  on(event: 'data', listener: (bytes: Buffer) => void): unknown;
  on(event: 'end' | 'error' | 'close', listener: () => void): unknown;
}

/** Options of one stream; `now` gives monotonic milliseconds. */
export interface LinkStreamOptions {
  /** Stream of encoded frames. */
  readonly stream: FrameStream;
  /** Ends the stream at once. */
  readonly abort: () => void;
  /** This process opened the stream; the opener pings. */
  readonly opener: boolean;
  readonly now: () => number;
  readonly counters: Counters;
  readonly onFrame: (frame: Frame) => void;
  readonly onClose: (end: LinkEnd) => void;
}

/** Time between two pings, in milliseconds. */
const PING_MS = 1_000;

/** A stream without any frame for this time is closed as silent, in milliseconds. */
export const SILENCE_MS = 3_000;

/** A longer gap between two checks means that this process was paused and the peer may have sent meanwhile. */
const PAUSE_MS = 1_500;

/** Frames of one stream: codec, pings and detection of silence. Ends exactly once. */
export class LinkStream {
  readonly #options: LinkStreamOptions;

  #heardMs: number;

  #checkedMs: number;

  #pingedMs: number;

  #sequence = 0;

  #end: LinkEnd | undefined;

  /** @param options - Stream and where its frames go. */
  constructor(options: LinkStreamOptions) {
    this.#options = options;
    this.#heardMs = options.now();
    this.#checkedMs = this.#heardMs;
    this.#pingedMs = this.#heardMs;
    const { stream } = options;
    stream.on('data', (bytes: Buffer) => this.#receive(bytes));
    stream.on('end', () => this.close('ended'));
    stream.on('error', () => this.close('broken'));
    stream.on('close', () => this.close('broken'));
  }

  /** True until the stream ends. */
  get open(): boolean {
    return this.#end === undefined;
  }

  /**
   * Writes a frame.
   * @param frame - Frame to send; dropped when the stream has ended.
   * @param done - Called when the transport took the frame.
   */
  write(frame: Frame, done?: () => void): void {
    if (this.#end !== undefined) {
      return;
    }
    this.#options.stream.write(encodeFrame(frame), done);
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
    if (nowMs - this.#heardMs >= SILENCE_MS) {
      this.close('silent');
      return;
    }
    if (this.#options.opener && nowMs - this.#pingedMs >= PING_MS) {
      this.#pingedMs = nowMs;
      this.#sequence += 1;
      this.write(buildFrame({ case: 'ping', value: { sequence: this.#sequence } }));
    }
  }

  /**
   * Ends the stream. Only the first call has an effect.
   * @param end - Why it ends; `idle`, `stopped` and `ended` let written frames out first.
   */
  close(end: LinkEnd): void {
    if (this.#end !== undefined) {
      return;
    }
    this.#end = end;
    this.#options.counters.count(`link_end_${end}`);
    if (end === 'idle' || end === 'stopped' || end === 'ended') {
      this.#options.stream.end();
    } else {
      this.#options.abort();
    }
    this.#options.onClose(end);
  }

  #receive(bytes: Buffer): void {
    if (this.#end !== undefined) {
      return;
    }
    this.#heardMs = this.#options.now();
    const decoded = decodeFrame(bytes);
    if (decoded.isErr) {
      this.#options.counters.count(`link_frame_${decoded.error.fault}`);
      this.close('protocol');
      return;
    }
    this.#dispatch(decoded.value);
  }

  #dispatch(frame: Frame): void {
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
