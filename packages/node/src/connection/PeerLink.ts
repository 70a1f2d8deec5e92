import type { Frame, Hello } from '@tanagerpond/wire';
import type { BodyStore, BodyReference } from '../process/bodies/index.js';
import type { Counters } from '../process/metrics/index.js';
import type { AddWork } from '../process/scheduling/index.js';
import { LinkCalls } from './LinkCalls.js';
import { LinkStream } from './LinkStream.js';
import type { FrameStream, LinkEndReason } from './LinkStream.js';

/** Connection that carries the frames between two nodes. */
export interface LinkTransport {
  readonly stream: FrameStream;

  /** Closes the stream at once and releases its connection. */
  abort(): void;
}

/** Options of one link; `now` returns the monotonic time in milliseconds. */
export interface PeerLinkOptions {
  readonly transport: LinkTransport;
  /** Whether this process opened the link; the opener sends its `Hello` first. */
  readonly opener: boolean;
  /** Builds the frame with the `Hello` of this node. */
  readonly buildHello: () => Frame;
  /** Time limit until the `Hello` of the peer, in milliseconds. */
  readonly helloLimitMs: number;
  /**
   * Time without a call in progress or a frame, pings excepted, after which the opener closes the link, in
   * milliseconds.
   */
  readonly idleMs: number;
  readonly maxBody: number;
  readonly store: BodyStore;
  readonly counters: Counters;
  readonly now: () => number;
  readonly addWork: AddWork;
  /** Validates the `Hello` of the peer; false closes the link. */
  readonly checkHello: (hello: Hello) => boolean;
  /** Called when the link is up, with the `Hello` of the peer. */
  readonly onUp: (hello: Hello) => void;
  /** Receives each frame of the peer whose body is complete and stored. */
  readonly onFrame: (hello: Hello, frame: Frame) => void;
  /**
   * Called once at the end. `hello` is undefined when the link never came up; the queued frames, `dropped`, were not sent
   * then. `unfinished` is the value of `PeerLink.calls` at the end.
   */
  readonly onEnd: (
    end: LinkEndReason,
    hello: Hello | undefined,
    unfinished: number,
    dropped: readonly Frame[],
  ) => void;
}

interface QueuedFrame {
  readonly frame: Frame;
  readonly body: BodyReference | undefined;
}

/** Maximum number of frames that wait for a link to come up. */
const MAX_QUEUED_FRAMES = 4096;

/**
 * One link between two nodes: exchange of `Hello`, calls and end. Frames are queued until the peer's `Hello` arrives.
 */
export class PeerLink {
  readonly #options: PeerLinkOptions;

  readonly #stream: LinkStream;

  readonly #openedMs: number;

  #queue: QueuedFrame[] = [];

  #hello: Hello | undefined;

  #calls: LinkCalls | undefined;

  #usedMs: number;

  /** @param options - Transport, limits, and the callbacks that receive frames and events. */
  constructor(options: PeerLinkOptions) {
    this.#options = options;
    this.#openedMs = options.now();
    this.#usedMs = this.#openedMs;
    this.#stream = new LinkStream({
      stream: options.transport.stream,
      abort: () => options.transport.abort(),
      opener: options.opener,
      now: options.now,
      isAwaited: () => (this.#calls?.count ?? 0) > 0,
      counters: options.counters,
      onFrame: (frame) => this.#receive(frame),
      onClose: (end) => this.#end(end),
    });
    if (options.opener) {
      this.#stream.write(options.buildHello());
    }
  }

  /** `Hello` of the peer; undefined until the link is up. */
  get hello(): Hello | undefined {
    return this.#hello;
  }

  /** True until the link ends. */
  get isOpen(): boolean {
    return this.#stream.isOpen;
  }

  /** Monotonic time of the last frame of the peer, or of the opening before the first frame, in milliseconds. */
  get lastFrameMs(): number {
    return this.#stream.lastFrameMs;
  }

  /** Number of calls in progress, of bodies that are not completely sent, and of queued frames. */
  get calls(): number {
    return (this.#calls?.count ?? 0) + this.#queue.length;
  }

  /** Number of bodies that are not completely sent. */
  get unsentBodies(): number {
    return this.#calls?.unsentBodies ?? 0;
  }

  /**
   * Sends a frame, or queues it until the link is up. A link whose queue is full is closed; an ended link drops the
   * frame.
   * @param frame - Frame of the decision engine.
   * @param body - Body of the frame; the link releases it.
   */
  send(frame: Frame, body?: BodyReference): void {
    this.#usedMs = this.#options.now();
    if (!this.#stream.isOpen) {
      body?.release();
    } else if (this.#calls !== undefined) {
      this.#calls.send(frame, body);
    } else {
      this.#queue.push({ frame, body });
      if (this.#queue.length > MAX_QUEUED_FRAMES) {
        this.close('helloTimeout');
      }
    }
  }

  /**
   * Checks the time limits of the link and its bodies. Must be called about every 500 ms.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    if (this.#calls === undefined) {
      if (nowMs - this.#openedMs >= this.#options.helloLimitMs) {
        this.close('helloTimeout');
      }
      return;
    }
    this.#calls.advance(nowMs);
    this.#stream.advance(nowMs);
    if (this.#calls.count > 0) {
      this.#usedMs = nowMs;
    } else if (this.#options.opener && nowMs - this.#usedMs >= this.#options.idleMs) {
      this.close('idle');
    }
  }

  /**
   * Closes the link; only the first call has an effect.
   * @param end - Why the link ends.
   */
  close(end: LinkEndReason): void {
    this.#stream.close(end);
  }

  #receive(frame: Frame): void {
    if (this.#hello === undefined) {
      this.#receiveHello(frame);
      return;
    }
    if (frame.body.case === 'hello') {
      this.close('protocol');
      return;
    }
    this.#usedMs = this.#options.now();
    this.#calls?.receive(frame);
  }

  #receiveHello(frame: Frame): void {
    if (frame.body.case !== 'hello' || !this.#options.checkHello(frame.body.value)) {
      this.close('protocol');
      return;
    }
    const hello = frame.body.value;
    this.#hello = hello;
    this.#calls = this.#createCalls(hello);
    if (!this.#options.opener) {
      this.#stream.write(this.#options.buildHello());
    }
    this.#options.onUp(hello);
    const queue = this.#queue;
    this.#queue = [];
    queue.forEach((queued) => this.send(queued.frame, queued.body));
  }

  #createCalls(hello: Hello): LinkCalls {
    const { opener, store, maxBody, counters, now, addWork, onFrame } = this.#options;
    return new LinkCalls({
      peer: hello.vm,
      opener,
      inlineBodies: hello.inlineBodies,
      store,
      maxBody,
      counters,
      now,
      addWork,
      write: (frame, done) => this.#stream.write(frame, done),
      deliver: (frame) => onFrame(hello, frame),
      fail: () => this.close('protocol'),
    });
  }

  #end(end: LinkEndReason): void {
    const unfinished = this.calls;
    this.#calls?.close();
    const dropped = this.#queue.map(({ frame }) => frame);
    this.#queue.forEach(({ body }) => body?.release());
    this.#queue = [];
    this.#options.onEnd(end, this.#hello, unfinished, dropped);
  }
}
