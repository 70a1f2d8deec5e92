import * as protobuf from '@bufbuild/protobuf';
import * as wire from '@tanagerpond/wire';
import type { LeaseIds } from './LeaseIds.js';
import type { ShareCommand } from './ShareCommand.js';
import { createFrame } from './ShareFrame.js';
import { ROUNDING } from './shareLimits.js';
import { TokenAsks } from './TokenAsks.js';
import type { TokenPart, WorkspaceDemand } from './WorkspaceDemand.js';

/** Parts go back this long before their lease ends, so that the tokens left in them are not lost. */
const EARLY_RETURN_MS = 100;

const EARLY_RETURN_OF_LEASE = 0.25;

/** A workspace asks every holder at most once in a round; rounds follow the ticks. */
const ROUND_MS = 40;

/** After rounds without any token the waits double up to this time. */
const MAX_ROUND_MS = 320;

interface Round {
  startedMs: number;
  asked: number;
  empty: number;
}

interface Message {
  readonly wanted: Map<string, number>;
  readonly expected: Map<string, number>;
}

/** Borrows tokens from the holders of all failure domains, and gives back what is not needed. */
export class TokenBorrower {
  readonly #ids: LeaseIds;

  readonly #asks = new TokenAsks();

  readonly #rounds = new Map<string, Round>();

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
    demands: Iterable<WorkspaceDemand>,
    holders: readonly string[],
    readLocal: (workspace: string) => number,
    nowMs: number,
  ): readonly ShareCommand[] {
    const answering = holders.filter((holder) => !this.#asks.isSilent(holder));
    const messages = new Map<string, Message>();
    [...demands].forEach((demand) => {
      const local = readLocal(demand.workspace.name);
      this.#collect(demand, local, answering, messages, nowMs);
    });
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
    const sentMs = this.#asks.take(grant.requestId, holder);
    if (sentMs === undefined || sentMs + grant.leaseMs <= nowMs) {
      return [];
    }
    return grant.parts.flatMap(({ workspace, capacity, level }) => {
      const demand = demands.get(workspace);
      if (demand === undefined) {
        return [];
      }
      const capped = Math.min(level, capacity * demand.workspace.burst);
      const { leaseId } = grant;
      const expiresMs = sentMs + grant.leaseMs;
      demand.parts.push({ holder, leaseId, capacity, level: capped, expiresMs });
      demand.parts.sort((left, right) => left.expiresMs - right.expiresMs);
      Object.assign(this.#rounds.get(workspace) ?? {}, { empty: 0 });
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
    this.#rounds.clear();
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
    const { name, burst } = demand.workspace;
    let missing = computeMissing(demand, local) - this.#asks.countExpected(name);
    if (missing <= ROUNDING || holders.length === 0) {
      return;
    }
    const round = this.#findRound(name, nowMs);
    const mean = burst / holders.length;
    const wanted = Math.max(Math.min(missing, 1), Math.min(missing, mean / 2));
    while (missing > ROUNDING && round.asked < holders.length) {
      const holder = holders[this.#cursor % holders.length] ?? '';
      this.#cursor = (this.#cursor + 1) % holders.length;
      round.asked += 1;
      const message = messages.get(holder) ?? { wanted: new Map(), expected: new Map() };
      message.wanted.set(name, wanted);
      message.expected.set(name, Math.min(wanted, mean));
      messages.set(holder, message);
      missing -= Math.min(wanted, mean);
    }
  }

  #findRound(workspace: string, nowMs: number): Round {
    const round = this.#rounds.get(workspace) ?? { startedMs: nowMs, asked: 0, empty: 0 };
    const waitMs = Math.min(MAX_ROUND_MS, ROUND_MS * 2 ** Math.max(0, round.empty - 1));
    if (nowMs - round.startedMs >= waitMs) {
      Object.assign(round, { startedMs: nowMs, asked: 0, empty: round.empty + 1 });
    }
    this.#rounds.set(workspace, round);
    return round;
  }

  #send(holder: string, message: Message, nowMs: number): ShareCommand {
    const requestId = this.#ids.mint();
    this.#asks.add(requestId, holder, message.expected, nowMs);
    const wanted = [...message.wanted].map(([workspace, level]) => ({ workspace, level }));
    const value = protobuf.create(wire.ShareRequestSchema, { requestId, wanted });
    const frame = createFrame({ case: 'shareRequest', value });
    return { kind: 'sendRequest', peer: holder, frame };
  }

  #takeSurplus(demand: WorkspaceDemand, nowMs: number): readonly TokenPart[] {
    const earlyMs = Math.min(EARLY_RETURN_MS, this.#leaseMs * EARLY_RETURN_OF_LEASE);
    const kept = demand.waiting.size + 2 * demand.computePrefetch();
    let tokens = demand.countTokens();
    const surplus = demand.parts.filter((part) => {
      const isUseless = part.level <= ROUNDING || part.expiresMs - nowMs <= earlyMs;
      const isSpare = tokens - part.level >= kept;
      tokens -= isUseless || isSpare ? part.level : 0;
      return isUseless || isSpare;
    });
    if (surplus.length > 0) {
      const taken = new Set(surplus);
      Object.assign(demand, { parts: demand.parts.filter((part) => !taken.has(part)) });
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
    frame: createFrame({ case: 'shareReturn', value }),
  };
}
