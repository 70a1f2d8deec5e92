import { setTimeout as wait } from 'node:timers/promises';
import type { node, membership } from '@tanagerpond/core';
import type { Frame, Hello } from '@tanagerpond/wire';
import type { BodyStore, BodyReference } from '../process/bodies/index.js';
import type { Log, LogFields } from '../process/log/index.js';
import type { Counters } from '../process/metrics/index.js';
import type { LinkEndReason } from './LinkStream.js';
import { LostLinks } from './LostLinks.js';
import { PeerLink } from './PeerLink.js';
import type { LinkTransport, PeerLinkOptions } from './PeerLink.js';
import type { InboundTransport } from './GrpcPeerServer.js';

/** Options of the links of a process; `now` gives monotonic milliseconds. */
export interface PeerLinksOptions {
  readonly buildHello: () => Frame;
  readonly connect: (peer: string, address: string) => LinkTransport;
  readonly publish: (message: node.NodeMessage) => void;
  readonly store: BodyStore;
  readonly maxBody: number;
  readonly counters: Counters;
  readonly log: Log;
  readonly now: () => number;
  /** Time limit until the peer's `Hello`, in milliseconds. */
  readonly connectLimitMs?: number;
  /** Time without use after which an outbound link is closed, in milliseconds. */
  readonly idleMs?: number;
}

interface InboundEntry {
  readonly link: PeerLink;
  readonly hello: Hello;
}

/** A connection costs about 1 ms, and regions are within a few 100 ms of each other. */
const CONNECT_LIMIT_MS = 1_000;

const IDLE_MS = 60_000;

/** Time between two checks of all links, in milliseconds. */
const CHECK_MS = 500;

/** After a failed attempt, a peer is not tried again for this time, in milliseconds. */
const RETRY_MS = 200;

/** Time for the bodies of answers to be sent when the process ends, in milliseconds. */
const CLOSE_LIMIT_MS = 1_000;

/** Time between two checks for bodies that are not sent completely, in milliseconds. */
const CLOSE_CHECK_MS = 10;

/** Longest VM name in a `Hello`. */
const NAME_LENGTH = 253;

/** Links shown in the state dump. */
const SNAPSHOT_LINKS = 64;

/**
 * The links to all peers: one stream that this process opened and one that the peer opened. An end of an idle link is
 * no failure and is not reported to the decisions.
 */
export class PeerLinks {
  readonly #options: PeerLinksOptions;

  readonly #outbound = new Map<string, PeerLink>();

  readonly #inbound = new Map<string, InboundEntry>();

  /** Inbound links that have not sent their `Hello`. */
  readonly #arriving = new Set<PeerLink>();

  readonly #failedMs = new Map<string, number>();

  /** Lost streams that this process opened, and lost ones that peers opened. */
  readonly #lost = new LostLinks();

  readonly #lostInbound = new LostLinks();

  #addresses: ReadonlyMap<string, string> = new Map();

  #timer: NodeJS.Timeout | undefined;

  /** @param options - Own identity, the way to connect and where messages go. */
  constructor(options: PeerLinksOptions) {
    this.#options = options;
  }

  /** Starts the checks of time limits, pings and silence. */
  start(): void {
    this.#timer = setInterval(() => this.#advance(), CHECK_MS);
  }

  /**
   * Takes the addresses of the platform's list. A link to an address that a VM no longer has is closed.
   * @param vms - The list.
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
   * Sends on the stream that this process opened to a peer, opening it when needed.
   * @param peer - Name of the VM.
   * @param frame - Frame of the decisions.
   * @param body - Body of the frame; the link releases it.
   */
  sendRequest(peer: string, frame: Frame, body?: BodyReference): void {
    const link = this.#outbound.get(peer) ?? this.#open(peer);
    if (link === undefined) {
      body?.release();
      // Answering within the same turn would let a decision that tries again at once run without end.
      setImmediate(() => this.#options.publish({ kind: 'linkFailed', peer }));
      return;
    }
    link.send(frame, body);
  }

  /**
   * Sends on the stream that a peer opened; dropped and counted when that stream is gone.
   * @param peer - Name of the VM.
   * @param frame - Frame of the decisions.
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
   * Takes a stream that a peer opened.
   * @param transport - The stream and the names in the peer's certificate.
   */
  accept(transport: InboundTransport): void {
    const link: PeerLink = new PeerLink({
      ...this.#buildCommon(transport, false),
      checkHello: (hello) =>
        isValidHello(hello) && (transport.certificateNames?.includes(hello.vm) ?? true),
      onUp: (hello) => this.#enterInbound(link, hello),
      onEnd: (end, hello, unfinished) => this.#endInbound(link, hello, end, unfinished),
    });
    this.#arriving.add(link);
  }

  /**
   * Measures the time since the last frame on the stream that this process opened to a peer, in milliseconds.
   * @param peer - Name of the VM.
   * @returns Undefined when nothing was ever heard, or when the stream was idle and closed.
   */
  measureLinkAge(peer: string): number | undefined {
    const link = this.#outbound.get(peer);
    const heardMs =
      link?.hello === undefined ? this.#lost.find(peer)?.lastFrameMs : link.lastFrameMs;
    return heardMs === undefined ? undefined : this.#options.now() - heardMs;
  }

  /** Shows the links for the state dump; at most 64 in each direction. */
  snapshot(): object {
    const outbound = [...this.#outbound].map(([peer, link]) => describeLink(peer, link));
    const inbound = [...this.#inbound].map(([peer, { link }]) => describeLink(peer, link));
    return {
      addresses: this.#addresses.size,
      outboundCount: outbound.length,
      inboundCount: inbound.length,
      outbound: outbound.slice(0, SNAPSHOT_LINKS),
      inbound: inbound.slice(0, SNAPSHOT_LINKS),
    };
  }

  /** Ends every link. Written frames are sent first, and the bodies of answers get a second to follow them. */
  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
    await this.#finishAnswers();
    [...this.#outbound.values()].forEach((link) => link.close('stopped'));
    [...this.#inbound.values()].forEach(({ link }) => link.close('stopped'));
    [...this.#arriving].forEach((link) => link.close('stopped'));
  }

  async #finishAnswers(): Promise<void> {
    const untilMs = this.#options.now() + CLOSE_LIMIT_MS;
    const isSending = (): boolean =>
      [...this.#inbound.values()].some(({ link }) => link.unsentBodies > 0);
    while (isSending() && this.#options.now() < untilMs) {
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
      ...this.#buildCommon(this.#options.connect(peer, address), true),
      checkHello: (hello) => isValidHello(hello) && hello.vm === peer,
      onUp: (hello) => this.#enterOutbound(peer, hello),
      onEnd: (end, hello) => this.#endOutbound(peer, link, hello, end),
    });
    this.#outbound.set(peer, link);
    return link;
  }

  #buildCommon(
    transport: LinkTransport,
    opener: boolean,
  ): Omit<PeerLinkOptions, 'checkHello' | 'onUp' | 'onEnd'> {
    const { buildHello, store, maxBody, counters, now, publish } = this.#options;
    return {
      transport,
      opener,
      buildHello,
      store,
      maxBody,
      counters,
      now,
      helloLimitMs: this.#options.connectLimitMs ?? CONNECT_LIMIT_MS,
      idleMs: this.#options.idleMs ?? IDLE_MS,
      onFrame: ({ vm, incarnation }, frame) =>
        publish({ kind: 'peerFrame', peer: vm, incarnation, inbound: !opener, frame }),
    };
  }

  #enterOutbound(peer: string, { incarnation }: Hello): void {
    this.#failedMs.delete(peer);
    this.#reportReturn(peer, incarnation, false);
    this.#options.publish({ kind: 'linkUp', peer, incarnation, inbound: false });
  }

  #enterInbound(link: PeerLink, hello: Hello): void {
    const { vm: peer, incarnation } = hello;
    this.#arriving.delete(link);
    this.#inbound.get(peer)?.link.close('replaced');
    this.#inbound.set(peer, { link, hello });
    this.#reportReturn(peer, incarnation, true);
    this.#options.publish({ kind: 'linkUp', peer, incarnation, inbound: true });
  }

  #endOutbound(peer: string, link: PeerLink, hello: Hello | undefined, end: LinkEndReason): void {
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
      setImmediate(() => this.#options.publish({ kind: 'linkFailed', peer }));
      return;
    }
    this.#reportDown(hello, false, end, link.lastFrameMs);
  }

  #endInbound(
    link: PeerLink,
    hello: Hello | undefined,
    end: LinkEndReason,
    unfinished: number,
  ): void {
    this.#arriving.delete(link);
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
    heardMs: number,
  ): void {
    if (end === 'idle') {
      return;
    }
    const lostMs = this.#options.now();
    this.#selectLost(inbound).record(peer, { incarnation, lastFrameMs: heardMs, lostMs });
    this.#options.log.write('warn', 'link', 'peer link is down', {
      peer,
      inbound,
      end,
      incarnation,
      linkAgeMs: Math.round(lostMs - heardMs),
    });
    this.#options.publish({ kind: 'linkDown', peer, incarnation, inbound });
  }

  #reportReturn(peer: string, incarnation: string, inbound: boolean): void {
    const loss = this.#describeLoss(peer, inbound);
    if (this.#selectLost(inbound).take(peer) !== undefined) {
      const fields = { peer, inbound, incarnation, ...loss };
      this.#options.log.write('info', 'link', 'peer link is up again', fields);
    }
  }

  /** Describes for how long a lost link is away, and the incarnation that was at its other end. */
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
    return inbound ? this.#lostInbound : this.#lost;
  }

  #advance(): void {
    const nowMs = this.#options.now();
    [...this.#arriving].forEach((link) => link.advance(nowMs));
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
    hello.vm.length <= NAME_LENGTH &&
    /^[0-9a-f]{32}$/.test(hello.incarnation)
  );
}

function describeLink(peer: string, link: PeerLink): object {
  return { peer, up: link.hello !== undefined, calls: link.calls };
}
