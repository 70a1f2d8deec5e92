import type { Bundle } from '@tanagerpond/bundle';
import * as membership from '../../../src/process/membership/index.js';
import * as shares from '../../../src/process/shares/index.js';
import { EventQueue } from './EventQueue.js';
import type { SeededRandom } from './SeededRandom.js';

type SendCommand = Extract<shares.ShareCommand, { frame: unknown }>;

/** Callback for the decision on one request; it runs at the current time of the event queue. */
export type Decide = (outcome: 'granted' | 'denied') => void;

/** Returns the delay of each copy of a message, in milliseconds; an empty list loses the message. */
export type Network = (from: string, to: string, frame: SendCommand['frame']) => readonly number[];

export interface FleetOptions {
  readonly bundle: Bundle;
  readonly random: SeededRandom;
  readonly network: Network;
  /** Mutation: started nodes skip the startup wait. */
  readonly skipStartupWait?: boolean;
  /** Mutation: requests and frames are handled with the time of the last tick instead of the current time. */
  readonly staleClock?: boolean;
}

export interface FleetNode {
  readonly self: membership.VmIdentity;
  readonly view: membership.Membership;
  readonly clockRate: number;
  readonly clockOffsetMs: number;
  limiter: shares.RateLimiter;
  alive: boolean;
  pausedUntilMs: number;
  tickMs: number;
}

const TICK_MS = 50;

/** Fleet of rate limiters, each with its own clock, connected by simulated messages. */
export class ShareFleet {
  readonly events = new EventQueue();

  readonly nodes = new Map<string, FleetNode>();

  #bundle: Bundle;

  readonly #options: FleetOptions;

  readonly #decideByRequest = new Map<string, Decide>();

  #requests = 0;

  #incarnations = 0;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#bundle = options.bundle;
  }

  /** Starts a VM, or replaces a running one of the same name by a new process. */
  start(name: string, failureDomain: string, clockRate = 1): FleetNode {
    this.stop(name);
    this.#incarnations += 1;
    const incarnation = (this.#incarnations * 0x1_0001).toString(16).padStart(8, '0');
    const self = { name, service: 'desk', failureDomain, incarnation };
    const view = new membership.Membership(self);
    const clockOffsetMs = this.#options.random.pickBetween(1_000, 100_000);
    const nowMs = clockOffsetMs + this.events.nowMs * clockRate;
    const startedMs = this.#options.skipStartupWait ? nowMs - 100_000 : nowMs;
    const { random } = this.#options;
    const limiter = new shares.RateLimiter({ self, membership: view, random, startedMs });
    const node: FleetNode = {
      self,
      view,
      clockRate,
      clockOffsetMs,
      limiter,
      alive: true,
      pausedUntilMs: 0,
      tickMs: nowMs,
    };
    this.nodes.set(name, node);
    limiter.applyBundle(this.#bundle, nowMs);
    this.#scheduleTick(node, random.pickBetween(0, TICK_MS));
    return node;
  }

  /** Kills the process of a VM without a planned stop. */
  stop(name: string): void {
    const node = this.nodes.get(name);
    if (node !== undefined) {
      node.alive = false;
    }
  }

  /** Stops the process of a VM in a planned way, so that it returns what it borrowed. */
  release(name: string): void {
    const node = this.nodes.get(name);
    if (node?.alive) {
      this.#runCommands(node, node.limiter.release(this.#readClock(node)));
      node.alive = false;
    }
  }

  /** Pauses a process. Events during the pause are handled when it resumes, in random order with the tick. */
  pause(name: string, forMs: number): void {
    const node = this.nodes.get(name);
    if (node !== undefined) {
      node.pausedUntilMs = Math.max(node.pausedUntilMs, this.events.nowMs + forMs);
    }
  }

  /** Applies a bundle at each node after a delay. */
  adopt(bundle: Bundle, pickDelayMs: () => number): void {
    this.#bundle = bundle;
    this.nodes.forEach((node) => {
      this.#handle(node, this.events.nowMs + pickDelayMs(), () =>
        node.limiter.applyBundle(bundle, this.#readClock(node)),
      );
    });
  }

  /** Replaces the list of VMs at one node. */
  replaceList(name: string, vms: readonly membership.VmRecord[]): void {
    this.nodes.get(name)?.view.replaceList(vms, 0);
  }

  /**
   * Sums the capacity and refill that running nodes can use now, as fractions of the total. Paused nodes use nothing
   * until they resume.
   */
  computeUsable(workspace: string): { capacity: number; refill: number } {
    const usable = { capacity: 0, refill: 0 };
    this.nodes.forEach((node) => {
      if (!node.alive || node.pausedUntilMs > this.events.nowMs) {
        return;
      }
      const { pool, demand } = node.limiter.snapshot(this.#readClock(node));
      const lent = pool.workspaces[workspace]?.lentFraction ?? 0;
      usable.refill += pool.fraction;
      usable.capacity += Math.max(0, pool.fraction - lent);
      usable.capacity += demand[workspace]?.borrowedFraction ?? 0;
    });
    return usable;
  }

  /** Requests one token at a node. Returns false if its process is not running. */
  request(name: string, workspace: string, decide: Decide): boolean {
    const node = this.nodes.get(name);
    if (!node?.alive) {
      return false;
    }
    this.#handle(node, this.events.nowMs, () => this.#request(node, workspace, decide));
    return true;
  }

  #request(node: FleetNode, workspace: string, decide: Decide): void {
    this.#requests += 1;
    const requestId = `${this.#requests}`;
    const outcome = node.limiter.request(workspace, requestId, this.#readClockForInput(node));
    if (outcome === 'granted') {
      decide('granted');
      return;
    }
    this.#decideByRequest.set(requestId, decide);
  }

  #scheduleTick(node: FleetNode, delayMs: number): void {
    this.#handle(node, this.events.nowMs + delayMs, () => {
      const nowMs = this.#readClock(node);
      Object.assign(node, { tickMs: nowMs });
      this.#runCommands(node, node.limiter.advance(nowMs));
      this.#scheduleTick(node, TICK_MS / node.clockRate);
    });
  }

  /** Runs an action at a node at a time, or after the pause that the time falls into. */
  #handle(node: FleetNode, atMs: number, action: () => void): void {
    this.events.schedule(atMs, () => {
      if (!node.alive) {
        return;
      }
      if (node.pausedUntilMs > this.events.nowMs) {
        this.#handle(node, node.pausedUntilMs + this.#options.random.pickBetween(0, 2), action);
        return;
      }
      action();
    });
  }

  #runCommands(node: FleetNode, commands: readonly shares.ShareCommand[]): void {
    commands.forEach((command) => {
      if (command.kind === 'granted' || command.kind === 'denied') {
        const decide = this.#decideByRequest.get(command.requestId);
        this.#decideByRequest.delete(command.requestId);
        decide?.(command.kind);
        return;
      }
      this.#send(node, command);
    });
  }

  #send(node: FleetNode, command: SendCommand): void {
    const from = node.self.name;
    const delays = this.#options.network(from, command.peer, command.frame);
    delays.forEach((delayMs) => {
      this.events.schedule(this.events.nowMs + delayMs, () => {
        const target = this.nodes.get(command.peer);
        if (target !== undefined) {
          this.#handle(target, this.events.nowMs, () => this.#receive(target, from, command));
        }
      });
    });
  }

  #receive(node: FleetNode, from: string, { frame }: SendCommand): void {
    const { body } = frame;
    if (body.case === 'shareRequest' || body.case === 'shareGrant' || body.case === 'shareReturn') {
      const nowMs = this.#readClockForInput(node);
      this.#runCommands(node, node.limiter.receive(from, body, nowMs));
    }
  }

  #readClock(node: FleetNode): number {
    return node.clockOffsetMs + this.events.nowMs * node.clockRate;
  }

  #readClockForInput(node: FleetNode): number {
    return this.#options.staleClock ? node.tickMs : this.#readClock(node);
  }
}
