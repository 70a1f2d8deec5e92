import type { Bundle } from '@tanagerpond/bundle';
import * as calls from '../../request/calls/index.js';
import * as configuration from '../../version/configuration/index.js';
import * as documents from '../documents/index.js';
import type * as shares from '../shares/index.js';
import { BackendHealth } from './BackendHealth.js';
import { BackendNotices } from './BackendNotices.js';
import { createBackendLog } from './createBackendLog.js';
import { createBundleRejectedLog } from './createBundleRejectedLog.js';
import { createNodeServices, type NodeStateMachineOptions } from './createNodeServices.js';
import type { DecisionBasis } from './DecisionBasis.js';
import { DrainController } from './DrainController.js';
import { FrameDispatcher } from './FrameDispatcher.js';
import { measureAges } from './measureAges.js';
import type { NodeCommand } from './NodeCommand.js';
import type { BackendResult, NodeMessage } from './NodeMessage.js';
import type { NodeServices } from './NodeServices.js';
import { PeerLinks } from './PeerLinks.js';
import { snapshotServices } from './snapshotServices.js';

type Handlers = {
  readonly [Kind in NodeMessage['kind']]: (
    message: Extract<NodeMessage, { kind: Kind }>,
    nowMs: number,
  ) => void;
};

/**
 * State machine that makes all decisions of a node: it takes a message and the current time, and returns commands for
 * the host. It does no input or output and reads no clock, so that a session can be replayed exactly.
 */
export class NodeStateMachine {
  readonly #services: NodeServices;

  readonly #links = new PeerLinks();

  readonly #health = new BackendHealth();

  readonly #notices: BackendNotices;

  readonly #drain: DrainController;

  readonly #configuration: configuration.ConfigurationTracker;

  readonly #outboundSide: calls.OutboundSide;

  readonly #inboundSide: calls.InboundSide;

  readonly #documents: documents.DocumentRelay;

  readonly #frames: FrameDispatcher;

  readonly #handlers: Handlers;

  #bundle: Bundle | undefined;

  #adoptedMs = 0;

  #hasHostBundle = false;

  /** True if peers exchange signed bundles; otherwise the documents of the source are trusted without a signature. */
  readonly #isSigned: boolean;

  /** @param options - Identity, random source, limits and policies of the node. */
  constructor(options: NodeStateMachineOptions) {
    this.#services = createNodeServices(options, {
      findIncarnation: (peer) => this.#links.findIncarnation(peer),
      findBundle: () => (this.#isReady() ? this.#bundle : undefined),
      isLeaving: () => this.#drain.isLeaving(),
      measureStopRemainingMs: (nowMs) => this.#drain.measureRemainingMs(nowMs),
      canFinish: (longestMs, repeatable, nowMs) =>
        this.#drain.canFinish(longestMs, repeatable, nowMs),
    });
    this.#isSigned = options.unsignedBundles !== true;
    const { outbox } = this.#services;
    this.#notices = new BackendNotices(this.#services.admission, outbox);
    this.#drain = new DrainController(options.self, this.#links, outbox, options.drainLimitMs);
    const table = new calls.InboundCallTable();
    this.#outboundSide = new calls.OutboundSide(this.#services, table);
    this.#inboundSide = new calls.InboundSide(this.#services, table, (requestIds, nowMs) =>
      this.#outboundSide.cancelChildren(requestIds, nowMs),
    );
    this.#configuration = new configuration.ConfigurationTracker({
      self: options.self,
      membership: this.#services.membership,
      random: options.random,
      trustedKeys: options.trustedKeys,
      startedMs: options.startedMs,
    });
    const { self, random, startedMs } = options;
    const { membership } = this.#services;
    this.#documents = new documents.DocumentRelay(
      {
        outbox,
        random,
        listPeers: () => this.#listPeers(options.seeds ?? []),
        scheduler: new documents.SourceWatchScheduler({ self, membership, random, startedMs }),
      },
      startedMs,
    );
    this.#frames = new FrameDispatcher({
      documents: this.#documents,
      services: this.#services,
      outboundSide: this.#outboundSide,
      inboundSide: this.#inboundSide,
      applyShares: (commands, nowMs) => this.#applyShares(commands, nowMs),
      receiveConfiguration: (peer, frame, nowMs) =>
        this.#applyConfiguration(this.#configuration.receive(peer, frame, nowMs), nowMs),
    });
    this.#handlers = this.#createHandlers();
  }

  /**
   * Handles one message.
   * @param message - Message from the host.
   * @param nowMs - Monotonic time, in milliseconds; never less than in the previous call.
   * @returns Commands that the host runs in this order.
   */
  handle(message: NodeMessage, nowMs: number): readonly NodeCommand[] {
    const handler = this.#handlers[message.kind] as (message: NodeMessage, nowMs: number) => void;
    handler(message, nowMs);
    this.#handleLocalFrames(nowMs);
    return this.#services.outbox.takeCommands();
  }

  /** Returns whether the node serves callers: a configuration is active and no planned stop has started. */
  isServing(): boolean {
    return this.#isReady() && !this.#drain.isStopping();
  }

  /** Reads the counters of the process, by name. */
  readCounters(): Readonly<Record<string, number>> {
    return this.#services.counters.read();
  }

  /**
   * Measures the age of the data behind a decision, for its log line. Call it only for a line that is really written.
   * @param basis - Data that the decision was based on.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  measureAges(basis: DecisionBasis, nowMs: number): Readonly<Record<string, number>> {
    const active =
      this.#bundle === undefined
        ? undefined
        : { version: this.#bundle.version, adoptedMs: this.#adoptedMs };
    return measureAges(this.#services, active, basis, nowMs);
  }

  /**
   * Returns the state for the state dump; bounded in size and without keys, tickets and bodies.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  snapshot(nowMs: number): object {
    return {
      ...snapshotServices(this.#services, nowMs),
      bundleVersion: this.#bundle?.version ?? null,
      isReady: this.#isReady(),
      isLeaving: this.#drain.isLeaving(),
      entryCalls: this.#outboundSide.size,
      exitCalls: this.#inboundSide.size,
      links: { outbound: this.#links.listOutbound(), inbound: this.#links.listInbound() },
      configuration: this.#configuration.snapshot(nowMs),
      documents: this.#documents.snapshot(nowMs),
    };
  }

  #createHandlers(): Handlers {
    return {
      callerRequest: ({ request }, nowMs) => {
        this.#outboundSide.calls.receiveCallerRequest(request, nowMs);
        // Requesting a token immediately instead of at the next tick saves the call up to 50 ms.
        if (this.#outboundSide.calls.takeNewRateWait()) {
          this.#applyShares(this.#services.rateLimiter.advance(nowMs), nowMs);
        }
      },
      egressRequest: ({ request, callToken }, nowMs) =>
        this.#outboundSide.calls.receiveEgressRequest(request, callToken, nowMs),
      requesterGone: ({ requestId }, nowMs) =>
        this.#outboundSide.calls.recordRequesterGone(requestId, nowMs),
      peerFrame: (message, nowMs) => this.#frames.dispatch(message, nowMs),
      linkUp: (message, nowMs) => this.#handleLinkUp(message, nowMs),
      linkDown: (message, nowMs) => this.#handleLinkDown(message, nowMs),
      linkFailed: (message, nowMs) => this.#handleLinkFailed(message, nowMs),
      backendResult: ({ callId, result }, nowMs) => {
        this.#health.recordResult(result, nowMs);
        this.#receiveNotice(result, nowMs);
        this.#inboundSide.runs.receiveResult(callId, result, nowMs);
      },
      backendHealth: ({ state }, nowMs) => this.#handleHealth(state, nowMs),
      bundleAdopted: ({ bundle }, nowMs) => {
        if (bundle.version > (this.#bundle?.version ?? -1)) {
          this.#hasHostBundle = true;
          this.#adopt(bundle, nowMs);
        }
      },
      envelopeRead: ({ envelope }, nowMs) =>
        this.#applyConfiguration(this.#configuration.offerEnvelope(envelope, nowMs), nowMs),
      serviceUnavailable: () => this.#services.counters.count('serviceUnavailable'),
      vmsListed: (message, nowMs) => this.#handleList(message, nowMs),
      listConfirmed: (_message, nowMs) => this.#services.membership.recordListConfirmed(nowMs),
      documentRead: ({ update }, nowMs) => this.#documents.recordRead(update, nowMs),
      documentsConfirmed: ({ ageMs }, nowMs) => this.#documents.recordConfirmed(nowMs - ageMs),
      sourceChanged: ({ reachable }, nowMs) => this.#documents.recordSource(reachable, nowMs),
      drainRequested: (_message, nowMs) => this.#drain.startDrain(nowMs),
      tick: (_message, nowMs) => this.#advance(nowMs),
    };
  }

  /** Lists the peers that may be asked for documents: linked ones, or all listed VMs and seeds if no peer is linked. */
  #listPeers(seeds: readonly string[]): readonly string[] {
    const linked = this.#links.listOutbound();
    const known = linked.length > 0 ? linked : [...this.#services.membership.listNames(), ...seeds];
    return known.filter((name) => name !== this.#services.self.name);
  }

  #isReady(): boolean {
    return this.#hasHostBundle || this.#configuration.isReady();
  }

  #advance(nowMs: number): void {
    const { admission: queue, deduplication: table, outbox } = this.#services;
    this.#inboundSide.runs.apply(queue.advance(nowMs), nowMs);
    this.#inboundSide.runs.advance(nowMs);
    this.#outboundSide.calls.advance(nowMs);
    this.#applyShares(this.#services.rateLimiter.advance(nowMs), nowMs);
    if (this.#isSigned) {
      this.#applyConfiguration(this.#configuration.advance(nowMs), nowMs);
    } else {
      this.#documents.advance(nowMs);
    }
    table.advance(nowMs).forEach((bodyOf) => outbox.add({ kind: 'releaseBody', bodyOf }));
    this.#finishDrain(nowMs);
  }

  #finishDrain(nowMs: number): void {
    const inFlight = this.#outboundSide.size + this.#inboundSide.size;
    if (!this.#drain.finishDrain(inFlight, nowMs)) {
      return;
    }
    this.#applyShares(this.#services.rateLimiter.release(nowMs), nowMs);
    this.#services.outbox.add({ kind: 'drained' });
  }

  #handleLocalFrames(nowMs: number): void {
    const { self, outbox } = this.#services;
    let frames = outbox.takeLocalFrames();
    while (frames.length > 0) {
      frames.forEach(({ frame, inbound }) =>
        this.#frames.dispatch(
          { peer: self.name, incarnation: self.incarnation, inbound, frame },
          nowMs,
        ),
      );
      frames = outbox.takeLocalFrames();
    }
  }

  #handleLinkUp(message: Extract<NodeMessage, { kind: 'linkUp' }>, nowMs: number): void {
    const { peer, incarnation, inbound } = message;
    this.#links.recordUp(peer, incarnation, inbound);
    this.#services.membership.recordHello(peer, incarnation);
    this.#drain.announceTo(peer, inbound);
    if (!inbound) {
      this.#services.router.recordLink(peer, true, nowMs);
      this.#outboundSide.attempts.recordLinkUp(peer, incarnation);
      this.#applyConfiguration(this.#configuration.recordLink(peer, true, nowMs), nowMs);
    }
  }

  #handleLinkDown(message: Extract<NodeMessage, { kind: 'linkDown' }>, nowMs: number): void {
    const { peer, incarnation, inbound } = message;
    this.#links.recordDown(peer, incarnation, inbound);
    this.#services.membership.recordLinkLost(peer, incarnation);
    if (inbound) {
      this.#inboundSide.calls.recordPeerLost(peer, nowMs);
      return;
    }
    this.#services.router.recordLink(peer, false, nowMs);
    this.#applyConfiguration(this.#configuration.recordLink(peer, false, nowMs), nowMs);
    this.#outboundSide.ticketRequests.recordLinkLost(peer, nowMs);
    this.#outboundSide.attempts.recordLinkDown(peer, incarnation, nowMs);
  }

  #handleLinkFailed(
    { peer, callIds }: Extract<NodeMessage, { kind: 'linkFailed' }>,
    nowMs: number,
  ): void {
    this.#services.router.recordLink(peer, false, nowMs);
    this.#applyConfiguration(this.#configuration.recordLink(peer, false, nowMs), nowMs);
    this.#outboundSide.ticketRequests.recordLinkLost(peer, nowMs);
    this.#outboundSide.attempts.recordLinkFailed(peer, nowMs, callIds);
  }

  #receiveNotice(result: BackendResult, nowMs: number): void {
    if (result.kind !== 'answered' || result.notice === undefined) {
      return;
    }
    this.#inboundSide.runs.apply(this.#notices.receive(result.notice, nowMs), nowMs);
    if (result.notice.isLeaving && !this.#health.isLeaving) {
      this.#beginBackendLeaving(nowMs);
    }
  }

  #beginBackendLeaving(nowMs: number): void {
    const { membership: members, self, admission, outbox } = this.#services;
    this.#health.recordLeaving();
    members.markBackendLeaving(self.name);
    this.#drain.recordBackendDrain(true);
    outbox.add({
      kind: 'log',
      level: 'info',
      part: 'backend',
      text: 'backend server announced that it is leaving',
      fields: {},
    });
    this.#inboundSide.runs.apply(admission.setBackendState('draining', nowMs), nowMs);
  }

  #endBackendLeaving(nowMs: number): void {
    const { membership: members, self, admission } = this.#services;
    members.clearLeaving(self.name);
    this.#drain.recordBackendDrain(false);
    this.#inboundSide.runs.apply(admission.setBackendState('up', nowMs), nowMs);
  }

  #handleHealth(
    report: Extract<NodeMessage, { kind: 'backendHealth' }>['state'],
    nowMs: number,
  ): void {
    const state = this.#health.decide(report, nowMs);
    if (state === undefined) {
      return;
    }
    const change = this.#health.recordState(state, nowMs);
    if (change !== undefined) {
      this.#services.outbox.add(createBackendLog(change));
    }
    this.#drain.recordBackendDrain(state === 'draining' || this.#health.isLeaving);
    if (state === 'down') {
      this.#inboundSide.runs.confirmCrash(nowMs);
    }
    this.#inboundSide.runs.apply(this.#services.admission.setBackendState(state, nowMs), nowMs);
  }

  #handleList(
    { vms, isDerived }: Extract<NodeMessage, { kind: 'vmsListed' }>,
    nowMs: number,
  ): void {
    const { membership: members, self } = this.#services;
    members.replaceList(vms, isDerived === true ? undefined : nowMs);
    this.#services.rateLimiter.applyMembership(nowMs);
    this.#configureAdmission();
    const listed = members.find(self.name);
    if (this.#health.recordListed(listed?.backendIncarnation)) {
      this.#endBackendLeaving(nowMs);
    }
    const state = this.#drain.recordListed(listed?.state ?? 'absent');
    if (state === 'draining' || (state === 'up' && !this.#health.isLeaving)) {
      // Otherwise, queued calls could still reach a leaving backend server when it has room, long after it left.
      this.#inboundSide.runs.apply(this.#services.admission.setBackendState(state, nowMs), nowMs);
    }
  }

  #adopt(bundle: Bundle, nowMs: number): void {
    this.#bundle = bundle;
    this.#adoptedMs = nowMs;
    this.#configureAdmission();
    this.#services.suspects.configure({ blockMs: bundle.fleet.poisonBlockMs });
    this.#services.rateLimiter.applyBundle(bundle, nowMs);
    this.#outboundSide.calls.refuseRevokedKeys(bundle);
    this.#services.outbox.add({
      kind: 'log',
      level: 'info',
      part: 'configuration',
      text: 'bundle is in force',
      fields: { version: bundle.version },
    });
  }

  /** Slots that the list declares for this VM take precedence over those of the service. */
  #configureAdmission(): void {
    const { membership: members, self, admission } = this.#services;
    const service = this.#bundle?.services.get(self.service);
    const slots = members.find(self.name)?.slots ?? service?.slots;
    if (service !== undefined && slots !== undefined) {
      admission.configure({ slots, queue: service.queue });
    }
  }

  #applyShares(commands: readonly shares.ShareCommand[], nowMs: number): void {
    const { outbox } = this.#services;
    commands.forEach((command) => {
      if (command.kind === 'granted') {
        this.#outboundSide.calls.recordRateGranted(command.requestId, nowMs);
        return;
      }
      if (command.kind === 'denied') {
        this.#outboundSide.calls.recordRateDenied(command.requestId, command.retryAfterMs, nowMs);
        return;
      }
      outbox.sendFrame(command);
    });
  }

  #applyConfiguration(
    commands: readonly configuration.ConfigurationCommand[],
    nowMs: number,
  ): void {
    const { outbox, counters } = this.#services;
    commands.forEach((command) => {
      if (command.kind === 'adopt') {
        this.#adopt(command.bundle, nowMs);
        return;
      }
      if (command.kind === 'rejected') {
        counters.count('bundlesRejected');
        outbox.add(createBundleRejectedLog(command));
        return;
      }
      if (command.kind === 'sendRequest' || command.kind === 'sendReply') {
        outbox.sendFrame(command);
        return;
      }
      outbox.add(command);
    });
  }
}
