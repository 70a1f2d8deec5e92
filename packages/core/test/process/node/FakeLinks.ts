import type { Frame } from '@tanagerpond/wire';
import type { NodeMessage } from '../../../src/process/node/index.js';
import type { EventQueue } from './EventQueue.js';

const LATENCY_MS = 1;
const CONNECT_TIMEOUT_MS = 500;
const STALL_TIMEOUT_MS = 3_000;

/** Process at one end of a stream. */
export interface FakePeer {
  readonly name: string;
  readonly incarnation: string;
  /** Returns false after the process has ended; its streams break. */
  isAlive(): boolean;
  /** Returns true while the process is paused. */
  isFrozen(): boolean;
  receive(message: NodeMessage, body?: string): void;
}

interface Stream {
  readonly from: FakePeer;
  readonly to: FakePeer;
  state: 'opening' | 'up' | 'down';
  readonly waiting: (() => void)[];
}

/** Simulated streams between the nodes of a session, with partitions, resets and stalls. */
export class FakeLinks {
  readonly #events: EventQueue;

  readonly #findPeer: (vm: string) => FakePeer | undefined;

  readonly #streams = new Map<string, Stream>();

  readonly #partitions = new Set<string>();

  constructor(events: EventQueue, findPeer: (vm: string) => FakePeer | undefined) {
    this.#events = events;
    this.#findPeer = findPeer;
  }

  /** Sends a frame on the stream that `from` opened; opens the stream if there is none. */
  sendRequest(from: FakePeer, to: string, frame: Frame, body?: string): void {
    const stream = this.#streams.get(`${from.name}>${to}`) ?? this.#open(from, to);
    this.#transmit(stream, stream?.to, true, frame, body);
  }

  /** Sends a frame on the stream that `to` opened; the frame is lost if there is none. */
  sendReply(from: FakePeer, to: string, frame: Frame, body?: string): void {
    const stream = this.#streams.get(`${to}>${from.name}`);
    if (stream?.to === from) {
      this.#transmit(stream, stream.from, false, frame, body);
    }
  }

  /** Partitions two VMs: nothing is delivered between them, and their streams break after 3 s. */
  cut(left: string, right: string): void {
    this.#partitions.add(formatPair(left, right));
    this.#events.schedule(STALL_TIMEOUT_MS, () => this.#breakIfPartitioned(left, right));
  }

  /** Ends a partition of two VMs. */
  heal(left: string, right: string): void {
    this.#partitions.delete(formatPair(left, right));
  }

  /** Breaks the streams between two VMs; frames in transit are lost. */
  reset(left: string, right: string): void {
    this.#break((stream) => isBetween(stream, left, right));
  }

  /** Breaks all streams of a process that has ended or was paused for too long. */
  breakAll(peer: FakePeer): void {
    this.#break((stream) => stream.from === peer || stream.to === peer);
  }

  #open(from: FakePeer, to: string): Stream | undefined {
    const target = this.#findPeer(to);
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
    if (!to.isAlive() || to.isFrozen() || this.#isPartitioned(stream)) {
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

  /** During a partition, data is delayed, as with TCP, until the partition ends or the stream breaks. */
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
    if (this.#isPartitioned(stream)) {
      const retry = () => this.#deliver(stream, to, inbound, frame, body);
      this.#events.schedule(LATENCY_MS * 10, retry);
      return;
    }
    const { name: peer, incarnation } = inbound ? stream.from : stream.to;
    to.receive({ kind: 'peerFrame', peer, incarnation, inbound, frame }, body);
  }

  #breakIfPartitioned(left: string, right: string): void {
    if (this.#partitions.has(formatPair(left, right))) {
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

  #isPartitioned(stream: Stream): boolean {
    return this.#partitions.has(formatPair(stream.from.name, stream.to.name));
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
