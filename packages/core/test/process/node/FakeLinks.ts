import type { Frame } from '@tanagerpond/wire';
import type { NodeMessage } from '../../../src/process/node/index.js';
import type { EventQueue } from './EventQueue.js';

const LATENCY_MS = 1;
const CONNECT_TIMEOUT_MS = 500;
const SILENCE_MS = 3_000;

/** One end of a stream. */
export interface FakePeer {
  readonly name: string;
  readonly incarnation: string;
  /** False once the process is gone; its streams break. */
  isAlive(): boolean;
  /** True while the process is stopped by a signal. */
  isFrozen(): boolean;
  receive(message: NodeMessage, body?: string): void;
}

interface Stream {
  readonly from: FakePeer;
  readonly to: FakePeer;
  state: 'opening' | 'up' | 'down';
  readonly waiting: (() => void)[];
}

/** Streams between the nodes of a session, with cuts, resets and silence. */
export class FakeLinks {
  readonly #events: EventQueue;

  readonly #find: (vm: string) => FakePeer | undefined;

  readonly #streams = new Map<string, Stream>();

  readonly #cuts = new Set<string>();

  constructor(events: EventQueue, find: (vm: string) => FakePeer | undefined) {
    this.#events = events;
    this.#find = find;
  }

  /** Sends on the stream that `from` opened, opening it when there is none. */
  sendRequest(from: FakePeer, to: string, frame: Frame, body?: string): void {
    const stream = this.#streams.get(`${from.name}>${to}`) ?? this.#open(from, to);
    this.#transmit(stream, stream?.to, true, frame, body);
  }

  /** Sends on the stream that `to` opened; lost when there is none. */
  sendReply(from: FakePeer, to: string, frame: Frame, body?: string): void {
    const stream = this.#streams.get(`${to}>${from.name}`);
    if (stream?.to === from) {
      this.#transmit(stream, stream.from, false, frame, body);
    }
  }

  /** Holds everything between two VMs back; a stream that is silent for 3 s breaks. */
  cut(left: string, right: string): void {
    this.#cuts.add(formatPair(left, right));
    this.#events.schedule(SILENCE_MS, () => this.#breakIfCut(left, right));
  }

  /** Ends a cut. */
  heal(left: string, right: string): void {
    this.#cuts.delete(formatPair(left, right));
  }

  /** Breaks the streams between two VMs; what is under way is lost. */
  reset(left: string, right: string): void {
    this.#break((stream) => isBetween(stream, left, right));
  }

  /** Breaks the streams of a process that died or was silent for too long. */
  breakAll(peer: FakePeer): void {
    this.#break((stream) => stream.from === peer || stream.to === peer);
  }

  #open(from: FakePeer, to: string): Stream | undefined {
    const target = this.#find(to);
    const key = `${from.name}>${to}`;
    if (target === undefined) {
      this.#events.schedule(LATENCY_MS, () => from.receive({ kind: 'linkFailed', peer: to }));
      return undefined;
    }
    const stream: Stream = { from, to: target, state: 'opening', waiting: [] };
    this.#streams.set(key, stream);
    this.#events.schedule(LATENCY_MS, () => this.#connect(key, stream));
    return stream;
  }

  #connect(key: string, stream: Stream): void {
    const { from, to } = stream;
    if (!to.isAlive() || to.isFrozen() || this.#isCut(stream)) {
      const delayMs = to.isAlive() ? CONNECT_TIMEOUT_MS : 0;
      this.#events.schedule(delayMs, () => this.#failOpening(key, stream));
      return;
    }
    Object.assign(stream, { state: 'up' });
    to.receive({ kind: 'linkUp', peer: from.name, incarnation: from.incarnation, inbound: true });
    this.#events.schedule(LATENCY_MS, () => {
      if (stream.state === 'up') {
        const { incarnation } = to;
        from.receive({ kind: 'linkUp', peer: to.name, incarnation, inbound: false });
        stream.waiting.splice(0).forEach((send) => send());
      }
    });
  }

  #failOpening(key: string, stream: Stream): void {
    if (stream.state === 'opening') {
      Object.assign(stream, { state: 'down' });
      this.#streams.delete(key);
      stream.from.receive({ kind: 'linkFailed', peer: stream.to.name });
    }
  }

  #transmit(
    stream: Stream | undefined,
    to: FakePeer | undefined,
    inbound: boolean,
    frame: Frame,
    body: string | undefined,
  ): void {
    if (stream === undefined || to === undefined) {
      return;
    }
    const send = () =>
      this.#events.schedule(LATENCY_MS, () => this.#deliver(stream, to, inbound, frame, body));
    if (stream.state === 'opening') {
      stream.waiting.push(send);
      return;
    }
    send();
  }

  /** A cut holds data back, as TCP does, until it heals or the stream breaks. */
  #deliver(
    stream: Stream,
    to: FakePeer,
    inbound: boolean,
    frame: Frame,
    body: string | undefined,
  ): void {
    if (stream.state !== 'up') {
      return;
    }
    if (this.#isCut(stream)) {
      const retry = () => this.#deliver(stream, to, inbound, frame, body);
      this.#events.schedule(LATENCY_MS * 10, retry);
      return;
    }
    const { name: peer, incarnation } = inbound ? stream.from : stream.to;
    to.receive({ kind: 'peerFrame', peer, incarnation, inbound, frame }, body);
  }

  #breakIfCut(left: string, right: string): void {
    if (this.#cuts.has(formatPair(left, right))) {
      this.reset(left, right);
    }
  }

  #break(predicate: (stream: Stream) => boolean): void {
    this.#streams.forEach((stream, key) => {
      if (!predicate(stream) || stream.state !== 'up') {
        return;
      }
      this.#streams.delete(key);
      Object.assign(stream, { state: 'down' });
      this.#events.schedule(LATENCY_MS, () => reportDown(stream));
    });
  }

  #isCut(stream: Stream): boolean {
    return this.#cuts.has(formatPair(stream.from.name, stream.to.name));
  }
}

function reportDown({ from, to }: Stream): void {
  const { incarnation } = to;
  from.receive({ kind: 'linkDown', peer: to.name, incarnation, inbound: false });
  to.receive({
    kind: 'linkDown',
    peer: from.name,
    incarnation: from.incarnation,
    inbound: true,
  });
}

function formatPair(left: string, right: string): string {
  return [left, right].sort().join('|');
}

function isBetween(stream: Stream, left: string, right: string): boolean {
  return formatPair(stream.from.name, stream.to.name) === formatPair(left, right);
}
