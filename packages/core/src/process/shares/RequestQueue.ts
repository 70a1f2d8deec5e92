import type { Workspace } from '@tanagerpond/bundle';
import type * as time from '../time/index.js';
import type { ShareCommand } from './ShareCommand.js';
import { ROUNDING_TOLERANCE } from './shareLimits.js';
import type { DemandSnapshot } from './ShareSnapshot.js';
import type { TokenPool } from './TokenPool.js';
import { WorkspaceDemand } from './WorkspaceDemand.js';

/** Shortest retry delay told to a denied caller, before jitter. */
const MIN_RETRY_AFTER_MS = 100;

/** Longest retry delay told to a denied caller, before jitter. */
const MAX_RETRY_AFTER_MS = 10_000;

/** Maximum number of workspaces in a snapshot. */
const SNAPSHOT_WORKSPACES = 64;

/** Requests that wait for a token at this node, served first in, first out within a workspace. */
export class RequestQueue {
  readonly demands = new Map<string, WorkspaceDemand>();

  readonly #pool: TokenPool;

  readonly #random: time.RandomSource;

  readonly #measureWaitMs: (nowMs: number) => number;

  readonly #workspaceByRequest = new Map<string, string>();

  /** Requests that can never be granted because the workspace is unknown; they are denied on the next tick. */
  readonly #ungrantable = new Set<string>();

  #workspaces: ReadonlyMap<string, Workspace> = new Map();

  /**
   * @param pool - Token pool of the node, used in addition to borrowed tokens.
   * @param random - Source of the jitter of retry delays.
   * @param measureWaitMs - Returns the rest of the node's startup wait, in milliseconds, which extends retry delays.
   */
  constructor(
    pool: TokenPool,
    random: time.RandomSource,
    measureWaitMs: (nowMs: number) => number = () => 0,
  ) {
    this.#pool = pool;
    this.#random = random;
    this.#measureWaitMs = measureWaitMs;
  }

  /**
   * Applies the workspaces of a bundle. Requests of a removed workspace are denied on the next tick.
   * @param workspaces - Workspaces by name.
   */
  configure(workspaces: ReadonlyMap<string, Workspace>): void {
    this.#workspaces = workspaces;
    this.demands.forEach((demand, name) => {
      const workspace = workspaces.get(name);
      if (workspace !== undefined) {
        demand.configure(workspace);
        return;
      }
      [...demand.waiting.keys()].forEach((requestId) => this.#ungrantable.add(requestId));
      this.demands.delete(name);
    });
  }

  /**
   * Removes borrowed tokens whose sublease has expired.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  removeExpiredTokens(nowMs: number): void {
    this.demands.forEach((demand) => demand.removeExpiredTokens(nowMs));
  }

  /**
   * Requests one token. The request is granted immediately or waits for the decision.
   * @param workspace - Name of the workspace.
   * @param requestId - Id of the request.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns `waiting` if a later call grants or denies the request.
   */
  request(workspace: string, requestId: string, nowMs: number): 'granted' | 'waiting' {
    const demand = this.#findDemand(workspace, nowMs);
    if (demand === undefined) {
      this.#ungrantable.add(requestId);
      return 'waiting';
    }
    demand.recordArrival();
    if (demand.waiting.size === 0 && this.#tryConsume(demand, nowMs)) {
      return 'granted';
    }
    demand.wait(requestId, nowMs);
    this.#workspaceByRequest.set(requestId, workspace);
    return 'waiting';
  }

  /**
   * Removes a waiting request without a decision.
   * @param requestId - Id of the request.
   */
  cancel(requestId: string): void {
    const workspace = this.#workspaceByRequest.get(requestId) ?? '';
    this.demands.get(workspace)?.waiting.delete(requestId);
    this.#workspaceByRequest.delete(requestId);
    this.#ungrantable.delete(requestId);
  }

  /**
   * Grants waiting requests while there are tokens, and denies those that have waited too long. Call on every tick.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): readonly ShareCommand[] {
    const ungrantable = [...this.#ungrantable].map((requestId) => this.#deny(requestId, nowMs));
    const decided = [...this.demands].flatMap(([name, demand]) => {
      demand.advance(nowMs);
      const commands = [...this.drain(name, nowMs), ...this.#denyExpired(demand, nowMs)];
      if (demand.isIdle()) {
        this.demands.delete(name);
      }
      return commands;
    });
    return [...ungrantable, ...decided];
  }

  /**
   * Grants waiting requests of one workspace while there are tokens.
   * @param workspace - Name of the workspace.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  drain(workspace: string, nowMs: number): readonly ShareCommand[] {
    const demand = this.demands.get(workspace);
    const commands: ShareCommand[] = [];
    let requestId = demand?.waiting.keys().next().value;
    while (demand !== undefined && requestId !== undefined && this.#tryConsume(demand, nowMs)) {
      this.cancel(requestId);
      commands.push({ kind: 'granted', requestId });
      requestId = demand.waiting.keys().next().value;
    }
    return commands;
  }

  /**
   * Denies every waiting request.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  denyAll(nowMs: number): readonly ShareCommand[] {
    const waiting = [...this.#workspaceByRequest.keys(), ...this.#ungrantable];
    return waiting.map((requestId) => this.#deny(requestId, nowMs));
  }

  /** Removes all borrowed tokens; waiting requests stay until they are granted or denied. */
  clear(): void {
    this.demands.forEach((demand) => Object.assign(demand, { borrowed: [] }));
  }

  /** Returns the demand of at most 64 workspaces, by name, for the state dump. */
  snapshot(): Readonly<Record<string, DemandSnapshot>> {
    const shown = [...this.demands].slice(0, SNAPSHOT_WORKSPACES);
    return Object.fromEntries(shown.map(([name, demand]) => [name, demand.snapshot()]));
  }

  #findDemand(name: string, nowMs: number): WorkspaceDemand | undefined {
    const workspace = this.#workspaces.get(name);
    const known = this.demands.get(name);
    if (known !== undefined || workspace === undefined) {
      return known;
    }
    const demand = new WorkspaceDemand(workspace, nowMs);
    this.demands.set(name, demand);
    return demand;
  }

  #tryConsume(demand: WorkspaceDemand, nowMs: number): boolean {
    const { name } = demand.workspace;
    const borrowed = demand.countTokens();
    if (
      borrowed < 1 - ROUNDING_TOLERANCE &&
      borrowed + this.#pool.readLevel(name, nowMs) < 1 - ROUNDING_TOLERANCE
    ) {
      return false;
    }
    this.#pool.consume(name, demand.consume(1));
    return true;
  }

  #denyExpired(demand: WorkspaceDemand, nowMs: number): readonly ShareCommand[] {
    return [...demand.waiting]
      .filter(([, deadlineMs]) => deadlineMs <= nowMs)
      .map(([requestId]) => this.#deny(requestId, nowMs, demand.workspace.rate));
  }

  #deny(requestId: string, nowMs: number, rate = Number.POSITIVE_INFINITY): ShareCommand {
    this.cancel(requestId);
    const meanMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, 1_000 / rate));
    const jitteredMs = meanMs * (1 + this.#random.next());
    const retryAfterMs = Math.round(this.#measureWaitMs(nowMs) + jitteredMs);
    return { kind: 'denied', requestId, retryAfterMs };
  }
}
