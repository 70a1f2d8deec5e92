import { toBinary } from '@bufbuild/protobuf';
import { FrameSchema } from '@tanagerpond/wire';
import * as configuration from '../../../src/version/configuration/index.js';
import * as membership from '../../../src/process/membership/index.js';
import { TRUSTED_KEY } from './sampleBundles.js';

const TICK_MS = 50;
const SERVICE_LATENCY_MS = 3;

/** Returns whether a frame from one VM to another is lost. */
export type LossRule = (
  from: string,
  to: string,
  frame: configuration.ConfigurationFrame,
) => boolean;

export const loseNothing: LossRule = () => false;

/** One tracker of the fleet, with what tests observe of it. */
export interface FleetNode {
  readonly identity: membership.VmIdentity;
  readonly tracker: configuration.ConfigurationTracker;
  /** Active version, 0 before the first one; `adoptedMs` is the time of its adoption. */
  version: number;
  adoptedMs: number;
  readonly versions: number[];
  readyMs: number | undefined;
  reads: number;
  sentFrames: number;
  sentBytes: number;
  readonly rejected: string[];
}

/** Trackers with an in-memory message queue, a fake clock and a fake configuration service. */
export class TrackerFleet {
  nowMs = 0;

  readonly nodes = new Map<string, FleetNode>();

  readonly log: string[] = [];

  /** Envelope stored in the configuration service; undefined while the service does not answer. */
  service: string | undefined;

  /** Longest latency of a frame, in milliseconds. */
  latencyMs = 3;

  isLost: LossRule = loseNothing;

  readonly #watchers = new Set<string>();

  readonly #due = new Map<number, (() => void)[]>();

  readonly #membership: membership.Membership;

  readonly #vms: membership.VmRecord[];

  #state: number;

  /**
   * @param count - VMs in the list, named `vm-0` and so on.
   * @param domains - Failure domains over which they are spread.
   * @param seed - Seed of the random source.
   */
  constructor(count: number, domains: number, seed = 1) {
    this.#state = seed;
    this.#vms = Array.from({ length: count }, (_, index) => ({
      name: `vm-${index}`,
      service: 'shop',
      failureDomain: `fd-${index % domains}`,
      peerAddress: `127.0.0.1:${index + 1}`,
      state: 'live',
    }));
    // All trackers share one list, which they only read, so that large fleets need little memory.
    this.#membership = new membership.Membership(createIdentity(this.#vms[0], 0));
    this.#membership.replaceList(this.#vms, 0);
  }

  /** Returns the next number in [0, 1) of a Lehmer generator. */
  next(): number {
    this.#state = (this.#state * 48_271) % 2_147_483_647;
    return this.#state / 2_147_483_647;
  }

  /** Starts or restarts VMs with empty state; all of them when no name is given. */
  start(...names: readonly string[]): void {
    const chosen = names.length === 0 ? this.#vms.map((vm) => vm.name) : names;
    chosen.forEach((name) => {
      const vm = this.#vms.find((candidate) => candidate.name === name);
      const identity = createIdentity(vm, this.nowMs);
      this.#watchers.delete(name);
      this.nodes.set(name, {
        identity,
        tracker: new configuration.ConfigurationTracker({
          self: identity,
          membership: this.#membership,
          random: this,
          trustedKeys: [TRUSTED_KEY],
          startedMs: this.nowMs,
        }),
        version: 0,
        adoptedMs: this.nowMs,
        versions: [],
        readyMs: undefined,
        reads: 0,
        sentFrames: 0,
        sentBytes: 0,
        rejected: [],
      });
      this.log.push(`${this.#formatTime()} ${name} starts`);
    });
  }

  /** Stops a VM. It stays in the list, as it would for some time in a real fleet. */
  stop(name: string): void {
    this.nodes.delete(name);
    this.#watchers.delete(name);
  }

  /** Stores an envelope in the configuration service and sends it to the watchers. */
  publish(envelope: string): void {
    this.service = envelope;
    this.#watchers.forEach((name) => this.#answerService(name));
  }

  /** Carries out the commands of a tracker, as its node would. */
  run(name: string, commands: readonly configuration.ConfigurationCommand[]): void {
    commands.forEach((command) => this.#runOne(name, command));
  }

  /** Advances the clock: delivers the frames that are due and ticks the trackers. */
  runFor(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (; this.nowMs < endMs; this.nowMs++) {
      const due = this.#due.get(this.nowMs) ?? [];
      this.#due.delete(this.nowMs);
      due.forEach((deliver) => deliver());
      if (this.nowMs % TICK_MS === 0) {
        this.#tick();
      }
    }
  }

  /** Advances the clock until a condition holds. Returns the time that this took, or undefined after `limitMs`. */
  runUntil(isReached: () => boolean, limitMs: number): number | undefined {
    const startMs = this.nowMs;
    while (!isReached()) {
      if (this.nowMs - startMs >= limitMs) {
        return undefined;
      }
      this.runFor(1);
    }
    return this.nowMs - startMs;
  }

  /** Returns whether a version is active on every running VM. */
  isEverywhere(version: number): boolean {
    return [...this.nodes.values()].every((node) => node.version === version);
  }

  #tick(): void {
    this.nodes.forEach((node, name) => {
      this.run(name, node.tracker.advance(this.nowMs));
      if (node.readyMs === undefined && node.tracker.isReady()) {
        Object.assign(node, { readyMs: this.nowMs });
        this.log.push(`${this.#formatTime()} ${name} is ready with version ${node.version}`);
      }
    });
  }

  #runOne(name: string, command: configuration.ConfigurationCommand): void {
    const node = this.nodes.get(name);
    if (node === undefined) {
      return;
    }
    this.log.push(`${this.#formatTime()} ${name} ${describeCommand(command)}`);
    if (command.kind === 'sendRequest' || command.kind === 'sendReply') {
      node.sentFrames += 1;
      node.sentBytes += toBinary(FrameSchema, command.frame).length;
      this.#deliver(name, command.peer, command.frame);
    } else if (command.kind === 'adopt') {
      node.version = command.bundle.version;
      node.adoptedMs = this.nowMs;
      node.versions.push(command.bundle.version);
    } else if (command.kind === 'rejected') {
      node.rejected.push(command.error.kind);
    } else if (command.kind === 'readService') {
      node.reads += 1;
      this.#answerService(name);
    } else if (command.enabled) {
      this.#watchers.add(name);
      this.#answerService(name);
    } else {
      this.#watchers.delete(name);
    }
  }

  #deliver(from: string, to: string, frame: configuration.ConfigurationFrame): void {
    if (this.isLost(from, to, frame)) {
      return;
    }
    this.#schedule(this.latencyMs, () => {
      const receiver = this.nodes.get(to);
      this.run(to, receiver?.tracker.receive(from, frame, this.nowMs) ?? []);
    });
  }

  #answerService(name: string): void {
    const value = this.service;
    if (value !== undefined) {
      this.#schedule(SERVICE_LATENCY_MS, () => {
        const reader = this.nodes.get(name);
        this.run(name, reader?.tracker.offerEnvelope(value, this.nowMs) ?? []);
      });
    }
  }

  #schedule(latencyMs: number, deliver: () => void): void {
    const dueMs = this.nowMs + 1 + Math.floor(this.next() * latencyMs);
    const due = this.#due.get(dueMs) ?? [];
    due.push(deliver);
    this.#due.set(dueMs, due);
  }

  #formatTime(): string {
    return `${String(this.nowMs).padStart(6)} ms`;
  }
}

function createIdentity(
  vm: membership.VmRecord | undefined,
  startedMs: number,
): membership.VmIdentity {
  const { name = '', service = '', failureDomain = '' } = vm ?? {};
  return { name, service, failureDomain, incarnation: `${name}@${startedMs}` };
}

function describeCommand(command: configuration.ConfigurationCommand): string {
  switch (command.kind) {
    case 'sendRequest':
    case 'sendReply':
      return `${command.kind} to ${command.peer}: ${describeFrame(command.frame)}`;
    case 'adopt':
      return `adopts version ${command.bundle.version} (${command.bundle.digest.slice(0, 8)})`;
    case 'rejected':
      return `rejects ${command.source}: ${command.error.kind}`;
    case 'watchService':
      return command.enabled ? 'watches the service' : 'ends its watch';
    default:
      return 'reads the service';
  }
}

function describeFrame({ body }: configuration.ConfigurationFrame): string {
  switch (body.case) {
    case 'manifestAnnouncement':
      return `manifestAnnouncement of version ${body.value.version}`;
    case 'sectionRequest':
      return `sectionRequest for ${body.value.digests.length} sections`;
    case 'sectionReply':
      return `sectionReply with ${body.value.content.length} bytes`;
    default:
      return body.case;
  }
}
