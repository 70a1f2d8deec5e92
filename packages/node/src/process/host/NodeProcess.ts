import { randomBytes } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import type { membership, node } from '@tanagerpond/core';
import { buildFrame, PeerCredentials, PeerLinks, PEER_TRANSPORTS } from '../../connection/index.js';
import type { PeerListener } from '../../connection/index.js';
import { NATIVE_BACKEND_ADAPTER, NATIVE_EDGE_ADAPTER } from '../../ports/index.js';
import type { NodePorts, ConfigurationSource } from '../../ports/index.js';
import { ReadinessListener, RequestListener } from '../../request/index.js';
import { AdminListener, createMetricsRenderer } from '../admin/index.js';
import { BackendPool, HealthPoller } from '../backend/index.js';
import { BodyStore } from '../bodies/index.js';
import { createPlatformReader } from '../platform/index.js';
import { DecisionLoop } from '../decisions/index.js';
import type { DecisionEngine } from '../decisions/index.js';
import type { Log } from '../log/index.js';
import { Counters, LatencyHistogram } from '../metrics/index.js';
import { formatAddress } from '../settings/index.js';
import type { ListenAddress, Settings } from '../settings/index.js';
import { CancellableStarts, WorkQueue } from '../scheduling/index.js';
import { CommandDispatcher } from './CommandDispatcher.js';

/** Options of a node process. */
export interface NodeProcessOptions {
  readonly settings: Settings;
  readonly log: Log;
  /** Creates the decision engine; `startedMs` is the monotonic time in milliseconds, `seeds` are IP addresses. */
  readonly createDecisions: (start: {
    readonly self: membership.VmIdentity;
    readonly startedMs: number;
    readonly seeds: readonly string[];
  }) => DecisionEngine;
  /** Adapters to a platform; the native ones by default. */
  readonly ports?: NodePorts;
}

/** Addresses in use, as `IP:port`. */
export type NodeAddresses = Readonly<Record<'caller' | 'egress' | 'peer' | 'admin', string>>;

/** Native interface to callers, the backend server and the configuration service. */
const NATIVE_PORTS: NodePorts = {
  edge: NATIVE_EDGE_ADAPTER,
  backend: NATIVE_BACKEND_ADAPTER,
  createSource: createPlatformReader,
};

/** Random bytes of an incarnation, the id of one run of the process. */
const INCARNATION_BYTES = 16;

/** Results of a backend call that trigger a health check. */
const FAILED_EXCHANGES: ReadonlySet<node.BackendResult['kind']> = new Set(['notSent', 'broken']);

/** Characters of the incarnation that prefix each request id, so that the ids of different processes differ. */
const ID_PREFIX_LENGTH = 12;

/**
 * Time after the drain limit in which the decision engine must report the end of the drain, and in which answers may still
 * be written, in milliseconds.
 */
const DRAIN_MARGIN_MS = 500;

/** Interval of the checks whether requests still wait at the end of a drain, in milliseconds. */
const DRAIN_CHECK_MS = 10;

/**
 * The node process beside a backend server. Owns the listeners, peer links, backend pool, configuration source and body
 * store; passes their events to the decision engine as messages and executes the commands that it returns.
 */
export class NodeProcess {
  readonly #options: NodeProcessOptions;

  readonly #self: membership.VmIdentity;

  readonly #counters = new Counters();

  readonly #latencies = { caller: new LatencyHistogram(), egress: new LatencyHistogram() };

  readonly #store: BodyStore;

  readonly #engine: DecisionEngine;

  readonly #loop: DecisionLoop;

  readonly #work: WorkQueue;

  readonly #starts: CancellableStarts;

  readonly #links: PeerLinks;

  readonly #server: PeerListener;

  readonly #listeners: Readonly<Record<'caller' | 'egress', RequestListener>>;

  readonly #backend: BackendPool;

  readonly #health: HealthPoller;

  readonly #source: ConfigurationSource;

  readonly #readiness: ReadinessListener;

  readonly #ports: NodePorts;

  readonly #admin: AdminListener;

  readonly #drain = createDeferred();

  #draining = false;

  #lastRequest = 0;

  /** @param options - Settings, log, decision engine and adapters. */
  constructor(options: NodeProcessOptions) {
    this.#options = options;
    this.#ports = options.ports ?? NATIVE_PORTS;
    const { settings, log } = options;
    const { backend: adapter, createSource } = this.#ports;
    const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
    this.#self = { ...settings.vm, incarnation };
    this.#store = new BodyStore(settings.bodies.budget);
    this.#work = new WorkQueue({ now: readNow, log });
    this.#starts = new CancellableStarts(this.#work);
    this.#engine = options.createDecisions({
      self: this.#self,
      startedMs: readNow(),
      seeds: settings.peers.seeds.map(({ host }) => host),
    });
    const transport = PEER_TRANSPORTS[settings.peers.transport](() => createCredentials(settings));
    const common = { store: this.#store, counters: this.#counters, log, now: readNow };
    const publish = (message: node.NodeMessage): void => this.#publish(message);
    this.#links = new PeerLinks({
      ...common,
      addWork: (task) => this.#work.add(task),
      publish,
      maxBody: settings.bodies.maxBody,
      buildHello: () => this.#buildHello(),
      connect: transport.connect,
    });
    this.#links.replaceAddresses(this.#listSeeds());
    this.#server = transport.createListener((accepted) => this.#links.accept(accepted));
    this.#listeners = {
      caller: this.#createListener('caller'),
      egress: this.#createListener('egress'),
    };
    const backend = formatAddress(settings.backend.address);
    this.#backend = new BackendPool({
      ...common,
      publish,
      address: backend,
      connections: settings.backend.connections,
      connectLimitMs: settings.backend.connectTimeMs,
      adapter,
    });
    const { health: mode } = settings.backend;
    this.#health = new HealthPoller({ address: backend, adapter, publish, mode });
    this.#source = createSource({ ...common, settings, publish });
    this.#readiness = new ReadinessListener(() => this.#engine.isServing());
    const dispatcher = new CommandDispatcher({
      ...common,
      publish,
      listeners: Object.values(this.#listeners),
      links: this.#links,
      starts: this.#starts,
      backend: this.#backend,
      source: this.#source,
      finishDrain: () => this.#finishDrain(),
      measureAges: (basis) => this.#engine.measureAges(basis, readNow()),
    });
    this.#loop = new DecisionLoop({
      engine: this.#engine,
      dispatch: (command) => dispatcher.dispatch(command),
      now: readNow,
      log,
    });
    this.#admin = this.#createAdmin();
  }

  /**
   * Opens the listeners and starts the links, the ticks, the health checks and the configuration source.
   * @returns Resolves with the addresses in use. Rejects when a listener cannot be opened; the caller must then dispose
   *   of this object, because earlier listeners may be open.
   */
  async start(): Promise<NodeAddresses> {
    const { listen } = this.#options.settings;
    const addresses = {
      peer: await openListener(this.#server, listen.peer),
      caller: await openListener(this.#listeners.caller, listen.caller),
      egress: await openListener(this.#listeners.egress, listen.egress),
      admin: await openListener(this.#admin, listen.admin),
    };
    if (listen.ready !== undefined) {
      await openListener(this.#readiness, listen.ready);
    }
    this.#links.start();
    this.#loop.start();
    this.#health.start();
    this.#source.start();
    return addresses;
  }

  /** Begins to drain the node; has no effect when it is draining already. */
  drain(): void {
    if (this.#draining) {
      return;
    }
    this.#draining = true;
    this.#options.log.write('info', 'drain', 'drain requested');
    Object.values(this.#listeners).forEach((listener) => listener.drain());
    const limitMs = this.#options.settings.drain.limitMs + DRAIN_MARGIN_MS;
    const timer = setTimeout(() => this.#drain.settle(), limitMs);
    void this.#drain.settled.then(() => clearTimeout(timer));
    this.#publish({ kind: 'drainRequested' });
  }

  /** Resolves when a drain ends: every call in flight is done, or the drain limit has passed. */
  waitDrained(): Promise<void> {
    return this.#drain.settled;
  }

  /** Closes every listener and connection. */
  async [Symbol.asyncDispose](): Promise<void> {
    await this.#listeners.caller[Symbol.asyncDispose]();
    await this.#listeners.egress[Symbol.asyncDispose]();
    await this.#health[Symbol.asyncDispose]();
    await this.#source[Symbol.asyncDispose]();
    await this.#links[Symbol.asyncDispose]();
    await this.#server[Symbol.asyncDispose]();
    await this.#loop[Symbol.asyncDispose]();
    await this.#backend[Symbol.asyncDispose]();
    await this.#admin[Symbol.asyncDispose]();
    await this.#readiness[Symbol.asyncDispose]();
  }

  /**
   * Ends a drain once no request waits and no answer is being written: the decision engine knows neither those that have
   * just been accepted nor those that it has answered.
   */
  #finishDrain(): void {
    const listeners = Object.values(this.#listeners);
    const open = listeners.reduce((sum, { pending, writing }) => sum + pending + writing, 0);
    if (open + this.#work.size + this.#links.unsentBodies === 0) {
      this.#drain.settle();
      return;
    }
    setTimeout(() => this.#finishDrain(), DRAIN_CHECK_MS).unref();
  }

  #publish(message: node.NodeMessage): void {
    if (message.kind === 'vmsListed') {
      this.#links.replaceAddresses(message.vms);
    }
    if (message.kind === 'bundleAdopted') {
      const { service } = this.#options.settings.vm;
      this.#health.setPath(message.bundle.services.get(service)?.healthPath);
    }
    if (message.kind === 'linkDown' && !message.inbound) {
      this.#starts.cancelPeer(message.peer);
    }
    if (message.kind === 'backendResult' && FAILED_EXCHANGES.has(message.result.kind)) {
      this.#health.check();
    }
    this.#loop.publish(message);
  }

  #createListener(part: 'caller' | 'egress'): RequestListener {
    const { bodies, requests } = this.#options.settings;
    return new RequestListener({
      part,
      limits: {
        maxBody: bodies.maxBody,
        headerBytes: requests.headerBytes,
        headerLimitMs: requests.headerTimeMs,
        requestLimitMs: requests.requestTimeMs,
        connections: requests.connections,
        keepAliveMs: requests.keepAliveMs,
      },
      adapter: this.#ports.edge,
      store: this.#store,
      counters: this.#counters,
      latency: this.#latencies[part],
      now: readNow,
      addWork: (task) => this.#work.add(task),
      buildRequestId: () => this.#buildRequestId(),
      publish: (message) => this.#publish(message),
    });
  }

  /** Builds VM records for the seeds; the settings do not contain their service and failure domain. */
  #listSeeds(): readonly membership.VmRecord[] {
    const { peers, listen } = this.#options.settings;
    return peers.seeds.map(({ host }) => ({
      name: host,
      service: '',
      failureDomain: '',
      peerAddress: formatAddress({ host, port: listen.peer.port }),
      state: 'live',
    }));
  }

  #createAdmin(): AdminListener {
    const renderMetrics = createMetricsRenderer({
      readHostCounters: () => this.#counters.read(),
      readDecisionCounters: () => this.#engine.readCounters(),
      readGauges: () => this.#readGauges(),
      latencies: this.#latencies,
    });
    return new AdminListener({
      readState: () => this.#readState(),
      renderMetrics,
      isDraining: () => this.#draining,
      drain: () => this.drain(),
    });
  }

  #readState(): object {
    const { settings } = this.#options;
    return {
      vm: this.#self,
      draining: this.#draining,
      decisions: this.#engine.snapshot(readNow()),
      links: this.#links.snapshot(),
      bodies: this.#store.snapshot(),
      levels: this.#readGauges(),
      counters: { host: this.#counters.read(), decisions: this.#engine.readCounters() },
      settings: { ...settings, tls: { plainText: settings.tls.plainText } },
    };
  }

  #readGauges(): Readonly<Record<string, number>> {
    return {
      body_bytes: this.#store.used,
      bodies: this.#store.count,
      caller_pending: this.#listeners.caller.pending,
      egress_pending: this.#listeners.egress.pending,
      backend_in_flight: this.#backend.inFlight,
      decision_failures: this.#loop.failures + this.#work.failures,
      waiting_work: this.#work.size,
    };
  }

  #buildHello(): ReturnType<typeof buildFrame> {
    const { name, incarnation, service, failureDomain } = this.#self;
    const leaving = this.#draining;
    return buildFrame({
      case: 'hello',
      value: { vm: name, incarnation, service, failureDomain, leaving, inlineBodies: true },
    });
  }

  #buildRequestId(): string {
    this.#lastRequest += 1;
    return `${this.#self.incarnation.slice(0, ID_PREFIX_LENGTH)}-${this.#lastRequest}`;
  }
}

/** Creates a promise and the function that resolves it; further calls of the function have no effect. */
function createDeferred(): { readonly settled: Promise<void>; readonly settle: () => void } {
  let settle = (): void => undefined;
  const settled = new Promise<void>((resolve) => {
    settle = resolve;
  });
  return { settled, settle: () => settle() };
}

function readNow(): number {
  return performance.now();
}

function createCredentials({ tls }: Settings): PeerCredentials {
  const { certificate, key, authorities } = tls;
  const complete = certificate !== undefined && key !== undefined && authorities !== undefined;
  return new PeerCredentials(
    !tls.plainText && complete ? { certificate, key, authorities } : undefined,
  );
}

async function openListener(
  listener: { listen(host: string, port: number): Promise<number> },
  address: ListenAddress,
): Promise<string> {
  const port = await listener.listen(address.host, address.port);
  return formatAddress({ host: address.host, port });
}
