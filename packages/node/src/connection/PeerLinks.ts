import { setTimeout as wait } from 'node:timers/promises';
import type { node, membership } from '@tanagerpond/core';
import type { Frame, Hello } from '@tanagerpond/wire';
import type { BodyStore, BodyReference } from '../process/bodies/index.js';
import type { Log, LogFields } from '../process/log/index.js';
import type { Counters } from '../process/metrics/index.js';
import type { AddWork } from '../process/scheduling/index.js';
import type { LinkEndReason } from './LinkStream.js';
import { LostLinks } from './LostLinks.js';
import { PeerLink } from './PeerLink.js';
import type { LinkTransport, PeerLinkOptions } from './PeerLink.js';
import type { InboundTransport } from './GrpcPeerServer.js';

/** Options of the links of a process; `now` returns the monotonic time in milliseconds. */
export interface PeerLinksOptions {
  readonly buildHello: () => Frame;
  readonly connect: (peer: string, address: string) => LinkTransport;
  readonly publish: (message: node.NodeMessage) => void;
  readonly store: BodyStore;
  readonly maxBody: number;
  readonly counters: Counters;
  readonly log: Log;
  readonly now: () => number;
  readonly addWork: AddWork;
  /** Time limit until the peer's `Hello`, in milliseconds; 1,000 by default. */
  readonly connectLimitMs?: number;
  /** Idle time after which an outbound link is closed, in milliseconds; 60,000 by default. */
  readonly idleMs?: number;
}

/** How an outbound link ended. */
interface OutboundEnd {
  readonly end: LinkEndReason;
  readonly hello: Hello | undefined;
  /** Frames that were never sent, because the link did not come up. */
  readonly dropped: readonly Frame[];
}

interface InboundEntry {
  readonly link: PeerLink;
  readonly hello: Hello;
}

/**
 * Default time limit until the peer's `Hello`. Opening a connection takes about 1 ms, and regions are at most a few
 * 100 ms apart.
 */
const CONNECT_LIMIT_MS = 1_000;

const IDLE_MS = 60_000;

/** Interval of the checks of all links, in milliseconds. */
const CHECK_MS = 500;

/** Pause after a failed attempt to open a link before the peer is tried again, in milliseconds. */
const RETRY_MS = 200;

/** Time that the bodies of answers have to be sent when the process ends, in milliseconds. */
const CLOSE_LIMIT_MS = 1_000;

/** Interval of the checks for bodies that are not completely sent, in milliseconds. */
const CLOSE_CHECK_MS = 10;

/** Maximum length of a VM name in a `Hello`. */
const MAX_NAME_LENGTH = 253;

/** Maximum number of links of each direction in the state dump. */
const MAX_SNAPSHOT_LINKS = 64;

/**
 * The links to all peers: for each peer up to one stream that this process opened (outbound) and one that the peer
 * opened (inbound). Publishes their events and frames; the end of an idle link is not a failure and is not published.
 */
export class PeerLinks {
  readonly #options: PeerLinksOptions;

  readonly #outbound = new Map<string, PeerLink>();

  readonly #inbound = new Map<string, InboundEntry>();

  /** Inbound links whose `Hello` has not arrived. */
  readonly #awaitingHello = new Set<PeerLink>();

  readonly #failedMs = new Map<string, number>();

  /** Lost outbound links; those that peers opened are in `#lostInbound`. */
  readonly #lostOutbound = new LostLinks();

  readonly #lostInbound = new LostLinks();

  #addresses: ReadonlyMap<string, string> = new Map();

  #timer: NodeJS.Timeout | undefined;

  /** @param options - Own `Hello`, transport, limits, and the callback that receives the messages. */
  constructor(options: PeerLinksOptions) {
    this.#options = options;
  }

  /** Starts the checks of time limits, pings and silent peers. */
  start(): void {
    this.#timer = setInterval(() => this.#advance(), CHECK_MS);
  }

  /**
   * Replaces the addresses of all peers. An outbound link to a VM whose address has changed is closed.
   * @param vms - The VM list.
   */
  replaceAddresses(vms: readonly membership.VmRecord[]): void {
    const former = this.#addresses;
    this.#addresses = new Map(vms.map((vm) => [vm.name, vm.peerAddress]));
    this.#outbound.forEach((link, peer) => {
      const address = this.#addresses.get(peer);
      if (address !== undefined && address !== former.get(peer)) {
        link.close('replaced');
      }
    });
  }

  /**
   * Sends a frame on the outbound link to a peer and opens the link if needed. `linkFailed` is published when it cannot
   * be opened.
   * @param peer - Name of the VM.
   * @param frame - Frame of the decision engine.
   * @param body - Body of the frame; the link releases it.
   */
  sendRequest(peer: string, frame: Frame, body?: BodyReference): void {
    const link = this.#outbound.get(peer) ?? this.#open(peer);
    if (link === undefined) {
      body?.release();
      this.#reportFailed(peer, [frame]);
      return;
    }
    link.send(frame, body);
  }

  /**
   * Sends a frame on the inbound link of a peer; the frame is dropped and counted when there is none.
   * @param peer - Name of the VM.
   * @param frame - Frame of the decision engine.
   * @param body - Body of the frame; the link releases it.
   */
  sendReply(peer: string, frame: Frame, body?: BodyReference): void {
    const entry = this.#inbound.get(peer);
    if (entry === undefined) {
      this.#options.counters.count('link_reply_without_stream');
      body?.release();
      return;
    }
    entry.link.send(frame, body);
  }

  /**
   * Accepts a stream that a peer opened. It becomes the inbound link of the peer when a valid `Hello` arrives, and then
   * replaces an earlier one.
   * @param transport - The stream and the names in the peer's certificate.
   */
  accept(transport: InboundTransport): void {
    const link: PeerLink = new PeerLink({
      ...this.#buildLinkOptions(transport, false),
      checkHello: (hello) =>
        isValidHello(hello) && (transport.certificateNames?.includes(hello.vm) ?? true),
      onUp: (hello) => this.#addInbound(link, hello),
      onEnd: (end, hello, unfinished) => this.#endInbound(link, hello, end, unfinished),
    });
    this.#awaitingHello.add(link);
  }

  /**
   * Measures the time since the last frame of a peer on the outbound link to it, in milliseconds.
   * @param peer - Name of the VM.
   * @returns Undefined when no frame has arrived yet, or when the link was closed because it was idle.
   */
  measureLinkAge(peer: string): number | undefined {
    const link = this.#outbound.get(peer);
    const lastFrameMs =
      link?.hello === undefined ? this.#lostOutbound.find(peer)?.lastFrameMs : link.lastFrameMs;
    return lastFrameMs === undefined ? undefined : this.#options.now() - lastFrameMs;
  }

  /** Number of answers whose bodies are being sent to peers. */
  get unsentBodies(): number {
    return [...this.#inbound.values()].reduce((sum, { link }) => sum + link.unsentBodies, 0);
  }

  /** Returns the links for the state dump, at most 64 in each direction. */
  snapshot(): object {
    const outbound = [...this.#outbound].map(([peer, link]) => describeLink(peer, link));
    const inbound = [...this.#inbound].map(([peer, { link }]) => describeLink(peer, link));
    return {
      addresses: this.#addresses.size,
      outboundCount: outbound.length,
      inboundCount: inbound.length,
      outbound: outbound.slice(0, MAX_SNAPSHOT_LINKS),
      inbound: inbound.slice(0, MAX_SNAPSHOT_LINKS),
    };
  }

  /** Closes every link after its written frames are sent; the bodies of answers have up to 1 s to be sent. */
  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
    await this.#finishAnswers();
    [...this.#outbound.values()].forEach((link) => link.close('stopped'));
    [...this.#inbound.values()].forEach(({ link }) => link.close('stopped'));
    [...this.#awaitingHello].forEach((link) => link.close('stopped'));
  }

  async #finishAnswers(): Promise<void> {
    const untilMs = this.#options.now() + CLOSE_LIMIT_MS;
    while (this.unsentBodies > 0 && this.#options.now() < untilMs) {
      await wait(CLOSE_CHECK_MS);
    }
  }

  #open(peer: string): PeerLink | undefined {
    const address = this.#addresses.get(peer);
    const failedMs = this.#failedMs.get(peer);
    if (address === undefined || (failedMs ?? -Infinity) + RETRY_MS > this.#options.now()) {
      return undefined;
    }
    const link: PeerLink = new PeerLink({
      ...this.#buildLinkOptions(this.#options.connect(peer, address), true),
      checkHello: (hello) => isValidHello(hello) && hello.vm === peer,
      onUp: (hello) => this.#addOutbound(peer, hello),
      onEnd: (end, hello, _unfinished, dropped) =>
        this.#endOutbound(peer, link, { end, hello, dropped }),
    });
    this.#outbound.set(peer, link);
    return link;
  }

  #buildLinkOptions(
    transport: LinkTransport,
    opener: boolean,
  ): Omit<PeerLinkOptions, 'checkHello' | 'onUp' | 'onEnd'> {
    const { buildHello, store, maxBody, counters, now, addWork, publish } = this.#options;
    return {
      transport,
      opener,
      buildHello,
      store,
      maxBody,
      counters,
      now,
      addWork,
      helloLimitMs: this.#options.connectLimitMs ?? CONNECT_LIMIT_MS,
      idleMs: this.#options.idleMs ?? IDLE_MS,
      onFrame: ({ vm, incarnation }, frame) =>
        publish({ kind: 'peerFrame', peer: vm, incarnation, inbound: !opener, frame }),
    };
  }

  #addOutbound(peer: string, { incarnation }: Hello): void {
    this.#failedMs.delete(peer);
    this.#reportRestored(peer, incarnation, false);
    this.#options.publish({ kind: 'linkUp', peer, incarnation, inbound: false });
  }

  #addInbound(link: PeerLink, hello: Hello): void {
    const { vm: peer, incarnation } = hello;
    this.#awaitingHello.delete(link);
    this.#inbound.get(peer)?.link.close('replaced');
    this.#inbound.set(peer, { link, hello });
    this.#reportRestored(peer, incarnation, true);
    this.#options.publish({ kind: 'linkUp', peer, incarnation, inbound: true });
  }

  #endOutbound(peer: string, link: PeerLink, { end, hello, dropped }: OutboundEnd): void {
    if (this.#outbound.get(peer) === link) {
      this.#outbound.delete(peer);
    }
    if (hello === undefined) {
      this.#failedMs.set(peer, this.#options.now());
      this.#options.log.write('warn', 'link', 'peer link could not be opened', {
        peer,
        end,
        ...this.#describeLoss(peer, false),
      });
      this.#reportFailed(peer, dropped);
      return;
    }
    this.#reportDown(hello, false, end, link.lastFrameMs);
  }

  /**
   * Reports frames that were not sent, in a later turn: a decision engine that retries at once would otherwise loop forever.
   * A new link may be open by then, so the calls are named.
   */
  #reportFailed(peer: string, dropped: readonly Frame[]): void {
    const callIds = dropped.flatMap(({ body }) =>
      body.case === 'openCall' ? [body.value.callId] : [],
    );
    setImmediate(() => this.#options.publish({ kind: 'linkFailed', peer, callIds }));
  }

  #endInbound(
    link: PeerLink,
    hello: Hello | undefined,
    end: LinkEndReason,
    unfinished: number,
  ): void {
    this.#awaitingHello.delete(link);
    if (hello === undefined) {
      return;
    }
    if (this.#inbound.get(hello.vm)?.link === link) {
      this.#inbound.delete(hello.vm);
    }
    if (end !== 'ended' || unfinished > 0) {
      this.#reportDown(hello, true, end, link.lastFrameMs);
    }
  }

  #reportDown(
    { vm: peer, incarnation }: Hello,
    inbound: boolean,
    end: LinkEndReason,
    lastFrameMs: number,
  ): void {
    if (end === 'idle') {
      return;
    }
    const lostMs = this.#options.now();
    this.#selectLost(inbound).record(peer, { incarnation, lastFrameMs, lostMs });
    this.#options.log.write('warn', 'link', 'peer link is down', {
      peer,
      inbound,
      end,
      incarnation,
      linkAgeMs: Math.round(lostMs - lastFrameMs),
    });
    this.#options.publish({ kind: 'linkDown', peer, incarnation, inbound });
  }

  #reportRestored(peer: string, incarnation: string, inbound: boolean): void {
    const loss = this.#describeLoss(peer, inbound);
    if (this.#selectLost(inbound).take(peer) !== undefined) {
      const fields = { peer, inbound, incarnation, ...loss };
      this.#options.log.write('info', 'link', 'peer link is up again', fields);
    }
  }

  /** Returns, as log fields, for how long a lost link has been down and the incarnation that was at its other end. */
  #describeLoss(peer: string, inbound: boolean): LogFields {
    const lost = this.#selectLost(inbound).find(peer);
    return lost === undefined
      ? {}
      : {
          awayMs: Math.round(this.#options.now() - lost.lostMs),
          formerIncarnation: lost.incarnation,
        };
  }

  #selectLost(inbound: boolean): LostLinks {
    return inbound ? this.#lostInbound : this.#lostOutbound;
  }

  #advance(): void {
    const nowMs = this.#options.now();
    [...this.#awaitingHello].forEach((link) => link.advance(nowMs));
    [...this.#outbound.values()].forEach((link) => link.advance(nowMs));
    [...this.#inbound.values()].forEach(({ link }) => link.advance(nowMs));
    this.#failedMs.forEach((failedMs, peer) => {
      if (failedMs + RETRY_MS < nowMs) {
        this.#failedMs.delete(peer);
      }
    });
  }
}

function isValidHello(hello: Hello): boolean {
  return (
    hello.vm.length > 0 &&
    hello.vm.length <= MAX_NAME_LENGTH &&
    /^[0-9a-f]{32}$/.test(hello.incarnation)
  );
}

function describeLink(peer: string, link: PeerLink): object {
  return { peer, up: link.hello !== undefined, calls: link.calls };
}
