import * as protobuf from '@bufbuild/protobuf';
import type { Workspace } from '@tanagerpond/bundle';
import * as wire from '@tanagerpond/wire';
import { HolderLevelEstimates } from './HolderLevelEstimates.js';
import type { LeaseIds } from './LeaseIds.js';
import type { ShareCommand } from './ShareCommand.js';
import { ROUNDING_TOLERANCE } from './shareLimits.js';
import { TokenRequests } from './TokenRequests.js';
import type { BorrowedTokens, WorkspaceDemand } from './WorkspaceDemand.js';

/** Parts go back this long before their lease ends, so that the tokens left in them are not lost. */
const EARLY_RETURN_MS = 100;

const EARLY_RETURN_OF_LEASE = 0.25;

/** A holder with less than the refill of this time is not worth a message. */
const QUANTUM_MS = 90;

/**
 * Where the holders have at most this many tokens each, a request is spread over two holders: a full holder cannot use
 * its refill, so uneven levels cost more of a small burst.
 */
const SMALL_CAPACITY = 4;

const PIECES = 2;

/** Tokens; smaller pieces are not worth a message. */
const MIN_PIECE = 0.25;

interface Message {
  readonly wanted: Map<string, number>;
  readonly expected: Map<string, number>;
}

/** Borrows tokens from the holders of all failure domains, and gives back what is not needed. */
export class TokenBorrower {
  readonly #ids: LeaseIds;

  readonly #asks = new TokenRequests();

  readonly #levels = new HolderLevelEstimates();

  #cursor: number;

  #leaseMs = 0;

  /**
   * @param ids - Source of lease ids.
   * @param cursor - Position in the list of holders to begin with, so that nodes do not all begin with the same.
   */
  constructor(ids: LeaseIds, cursor: number) {
    this.#ids = ids;
    this.#cursor = cursor;
  }

  /**
   * Takes the lease time of tokens.
   * @param leaseMs - Lease time, in milliseconds.
   */
  configure(leaseMs: number): void {
    this.#leaseMs = leaseMs;
  }

  /**
   * Notices holders that do not answer. Call on every tick before `request`.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    this.#asks.advance(this.#leaseMs, nowMs);
  }

  /**
   * Asks for the tokens that are missing.
   * @param demands - Demand by workspace.
   * @param holders - Holders of the failure domains.
   * @param readLocal - Reads the tokens of a workspace in the node's own pool.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  request(
    demands: ReadonlyMap<string, WorkspaceDemand>,
    holders: readonly string[],
    readLocal: (workspace: string) => number,
    nowMs: number,
  ): readonly ShareCommand[] {
    const answering = holders.filter((holder) => !this.#asks.isUnresponsive(holder));
    this.#levels.removeStale(demands, holders);
    const messages = new Map<string, Message>();
    demands.forEach((demand) => {
      const local = readLocal(demand.workspace.name);
      this.#collect(demand, local, answering, messages, nowMs);
    });
    this.#cursor += messages.size;
    return [...messages].map(([holder, message]) => this.#send(holder, message, nowMs));
  }

  /**
   * Takes a grant and adds its tokens to the demands. The lease counts from before the request was sent.
   * @param holder - VM that answers.
   * @param grant - Its answer.
   * @param demands - Demand by workspace.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The names of the workspaces that got tokens.
   */
  receiveGrant(
    holder: string,
    grant: wire.ShareGrant,
    demands: ReadonlyMap<string, WorkspaceDemand>,
    nowMs: number,
  ): readonly string[] {
    const sentMs = this.#asks.finish(grant.requestId, holder);
    if (sentMs === undefined || sentMs + grant.leaseMs <= nowMs) {
      return [];
    }
    return grant.parts.flatMap(({ workspace, capacity, level, left: remaining }) => {
      const demand = demands.get(workspace);
      this.#levels.recordAnswer(workspace, holder, remaining, nowMs);
      if (demand === undefined || level <= ROUNDING_TOLERANCE) {
        return [];
      }
      const capped = Math.min(level, capacity * demand.workspace.burst);
      const leaseId = grant.leaseId || grant.requestId;
      const expiresMs = sentMs + grant.leaseMs;
      demand.borrowed.push({ holder, leaseId, capacity, level: capped, expiresMs });
      demand.borrowed.sort((left, right) => left.expiresMs - right.expiresMs);
      return [workspace];
    });
  }

  /**
   * Gives back parts that are spent, not needed, or about to end.
   * @param demands - Demand by workspace.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  release(demands: Iterable<WorkspaceDemand>, nowMs: number): readonly ShareCommand[] {
    const returns = new Map<string, { holder: string; parts: [string, number][] }>();
    [...demands].forEach((demand) => {
      this.#takeSurplus(demand, nowMs).forEach((part) => {
        const key = `${part.holder}/${part.leaseId}`;
        const known = returns.get(key) ?? { holder: part.holder, parts: [] };
        known.parts.push([demand.workspace.name, part.level]);
        returns.set(key, known);
      });
    });
    return [...returns].map(([key, { holder, parts }]) => {
      const leaseId = key.slice(holder.length + 1);
      return createReturn(holder, leaseId, parts);
    });
  }

  /** Forgets every request under way. */
  clear(): void {
    this.#asks.clear();
    this.#levels.clear();
  }

  /**
   * Tells whether a holder did not answer lately.
   * @param holder - Name of the VM.
   */
  isUnresponsive(holder: string): boolean {
    return this.#asks.isUnresponsive(holder);
  }

  /**
   * Measures the time since a holder last told what it has left for a workspace, in milliseconds.
   * @param workspace - Name of the workspace.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  measureAnswerAge(workspace: string, nowMs: number): number | undefined {
    return this.#levels.measureAnswerAge(workspace, nowMs);
  }

  /** Counts the requests under way. */
  count(): number {
    return this.#asks.count();
  }

  #collect(
    demand: WorkspaceDemand,
    local: number,
    holders: readonly string[],
    messages: Map<string, Message>,
    nowMs: number,
  ): void {
    const { workspace } = demand;
    let missing = computeMissing(demand, local) - this.#asks.countExpected(workspace.name);
    if (missing <= ROUNDING_TOLERANCE || holders.length === 0) {
      return;
    }
    const piece = computePiece(workspace, missing, holders.length);
    const quantum = (workspace.rate * QUANTUM_MS) / 1_000 / holders.length;
    this.#listByLevel(workspace, holders, nowMs).forEach(({ holder, level }) => {
      const isWorth = level + ROUNDING_TOLERANCE >= Math.min(missing, piece, Math.max(1, quantum));
      const isUrgent = demand.waiting.size > 0 && this.#levels.isRetryDue(workspace, holder, nowMs);
      const isRecent = this.#levels.isRecentlyRequested(workspace, holder, nowMs);
      if (missing <= ROUNDING_TOLERANCE || isRecent || !(isWorth || isUrgent)) {
        return;
      }
      const wanted = Math.min(missing, piece, Math.max(1, level));
      const message = messages.get(holder) ?? { wanted: new Map(), expected: new Map() };
      message.wanted.set(workspace.name, wanted);
      message.expected.set(workspace.name, Math.min(wanted, level));
      messages.set(holder, message);
      this.#levels.recordRequest(workspace, holder, level - wanted, nowMs);
      missing -= Math.min(wanted, level);
    });
  }

  /** Lists the holders, those with most tokens first; equal ones in an order that moves on with every request. */
  #listByLevel(
    workspace: Workspace,
    holders: readonly string[],
    nowMs: number,
  ): readonly { holder: string; level: number }[] {
    const first = this.#cursor % holders.length;
    return [...holders.slice(first), ...holders.slice(0, first)]
      .map((holder) => ({
        holder,
        // Nothing is expected of a VM that may be out of reach, so others are asked at the same time.
        level: this.#asks.hasAnswered(holder)
          ? this.#levels.read(workspace, holder, holders.length, nowMs)
          : 0,
      }))
      .sort((left, right) => right.level - left.level);
  }

  #send(holder: string, message: Message, nowMs: number): ShareCommand {
    const requestId = this.#ids.mint();
    this.#asks.add(requestId, holder, message.expected, nowMs);
    const wanted = [...message.wanted].map(([workspace, level]) => ({ workspace, level }));
    const value = protobuf.create(wire.ShareRequestSchema, { requestId, wanted });
    const frame = wire.createFrame({ case: 'shareRequest', value });
    return { kind: 'sendRequest', peer: holder, frame };
  }

  #takeSurplus(demand: WorkspaceDemand, nowMs: number): readonly BorrowedTokens[] {
    const earlyMs = Math.min(EARLY_RETURN_MS, this.#leaseMs * EARLY_RETURN_OF_LEASE);
    const kept = demand.waiting.size + 2 * demand.computePrefetch();
    let tokens = demand.countTokens();
    const surplus = demand.borrowed.filter((part) => {
      const isUseless = part.level <= ROUNDING_TOLERANCE || part.expiresMs - nowMs <= earlyMs;
      const isSpare = tokens - part.level >= kept;
      tokens -= isUseless || isSpare ? part.level : 0;
      return isUseless || isSpare;
    });
    if (surplus.length > 0) {
      const taken = new Set(surplus);
      Object.assign(demand, { borrowed: demand.borrowed.filter((part) => !taken.has(part)) });
    }
    return surplus;
  }
}

function computeMissing(demand: WorkspaceDemand, local: number): number {
  const tokens = demand.countTokens() + local;
  const prefetch = demand.computePrefetch();
  // Refilling only below half of the prefetch saves messages.
  const isLow = tokens < demand.waiting.size + prefetch / 2;
  return isLow ? demand.waiting.size + prefetch - tokens : 0;
}

function computePiece(workspace: Workspace, missing: number, holders: number): number {
  const isSmall = workspace.burst / holders <= SMALL_CAPACITY;
  return isSmall ? Math.max(MIN_PIECE, missing / Math.min(holders, PIECES)) : missing;
}

function createReturn(
  holder: string,
  leaseId: string,
  parts: readonly (readonly [string, number])[],
): ShareCommand {
  const value = protobuf.create(wire.ShareReturnSchema, {
    leaseId,
    parts: parts.map(([workspace, level]) => ({ workspace, level })),
  });
  return {
    kind: 'sendRequest',
    peer: holder,
    frame: wire.createFrame({ case: 'shareReturn', value }),
  };
}
