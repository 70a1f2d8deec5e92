import * as protobuf from '@bufbuild/protobuf';
import type { Workspace } from '@tanagerpond/bundle';
import * as wire from '@tanagerpond/wire';
import { HolderLevelEstimates } from './HolderLevelEstimates.js';
import type { LeaseIds } from './LeaseIds.js';
import type { ShareCommand } from './ShareCommand.js';
import { ROUNDING_TOLERANCE } from './shareLimits.js';
import { TokenRequests } from './TokenRequests.js';
import type { BorrowedTokens, WorkspaceDemand } from './WorkspaceDemand.js';

/** Tokens are returned this long before their sublease ends, so that unused ones are not lost. */
const EARLY_RETURN_MS = 100;

/** Upper bound of `EARLY_RETURN_MS`, as a fraction of the lease time. */
const EARLY_RETURN_LEASE_FRACTION = 0.25;

/** A holder that probably has fewer tokens than the refill of this time is not worth a message. */
const MIN_REFILL_MS = 90;

/**
 * If the capacity of each holder is at most this many tokens, the missing tokens are requested from two holders. The
 * refill of a full holder is lost, so uneven levels waste more of a small burst.
 */
const SMALL_CAPACITY_TOKENS = 4;

/** Number of holders that the missing tokens are requested from if their capacity is small. */
const HOLDERS_PER_SMALL_REQUEST = 2;

/** Smallest number of tokens to request from one holder if a request is split; fewer are not worth a message. */
const MIN_REQUEST_TOKENS = 0.25;

/** Tokens to request from one holder, by workspace. */
interface RequestDraft {
  readonly wanted: Map<string, number>;
  /** Number of tokens that the holder can probably grant. */
  readonly expected: Map<string, number>;
}

/** Borrows tokens from the holders of all failure domains and returns those that are not needed. */
export class TokenBorrower {
  readonly #ids: LeaseIds;

  readonly #requests = new TokenRequests();

  readonly #estimates = new HolderLevelEstimates();

  #cursor: number;

  #leaseMs = 0;

  /**
   * @param ids - Generator of request ids.
   * @param cursor - First position in the list of holders. A random one keeps nodes from all starting with the same
   * holder.
   */
  constructor(ids: LeaseIds, cursor: number) {
    this.#ids = ids;
    this.#cursor = cursor;
  }

  /**
   * Applies the lease time of subleases.
   * @param leaseMs - Lease time of a sublease, in milliseconds.
   */
  configure(leaseMs: number): void {
    this.#leaseMs = leaseMs;
  }

  /**
   * Records time-outs of pending requests. Call on every tick before `request`.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): void {
    this.#requests.advance(this.#leaseMs, nowMs);
  }

  /**
   * Requests missing tokens, with at most one request per holder for all workspaces.
   * @param demands - Demand by workspace.
   * @param holders - Holders of all failure domains except this node.
   * @param readLocal - Reads the number of tokens of a workspace in the node's own pool.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  request(
    demands: ReadonlyMap<string, WorkspaceDemand>,
    holders: readonly string[],
    readLocal: (workspace: string) => number,
    nowMs: number,
  ): readonly ShareCommand[] {
    const answering = holders.filter((holder) => !this.#requests.isUnresponsive(holder));
    this.#estimates.removeStale(demands, holders);
    const drafts = new Map<string, RequestDraft>();
    demands.forEach((demand) => {
      const local = readLocal(demand.workspace.name);
      this.#addToDrafts(demand, local, answering, drafts, nowMs);
    });
    this.#cursor += drafts.size;
    return [...drafts].map(([holder, draft]) => this.#createRequest(holder, draft, nowMs));
  }

  /**
   * Handles a grant: adds its tokens to the demands and records how many tokens the holder has left. The sublease
   * counts from before the request was sent, so it ends for the borrower before it ends for the holder.
   * @param holder - VM that answered.
   * @param grant - Answer of the holder.
   * @param demands - Demand by workspace.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The names of the workspaces that received tokens.
   */
  receiveGrant(
    holder: string,
    grant: wire.ShareGrant,
    demands: ReadonlyMap<string, WorkspaceDemand>,
    nowMs: number,
  ): readonly string[] {
    const sentMs = this.#requests.finish(grant.requestId, holder);
    if (sentMs === undefined || sentMs + grant.leaseMs <= nowMs) {
      return [];
    }
    return grant.parts.flatMap(({ workspace, capacity, level, left: remaining }) => {
      const demand = demands.get(workspace);
      this.#estimates.recordAnswer(workspace, holder, remaining, nowMs);
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
   * Returns borrowed tokens whose sublease is used up, not needed, or about to end.
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

  /** Removes all pending requests and all estimates of holders. */
  clear(): void {
    this.#requests.clear();
    this.#estimates.clear();
  }

  /**
   * Returns whether a holder recently failed to answer.
   * @param holder - Name of the VM.
   */
  isUnresponsive(holder: string): boolean {
    return this.#requests.isUnresponsive(holder);
  }

  /**
   * Measures the time since a holder last reported how many tokens of a workspace it has left, in milliseconds;
   * undefined if none has.
   * @param workspace - Name of the workspace.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  measureAnswerAge(workspace: string, nowMs: number): number | undefined {
    return this.#estimates.measureAnswerAge(workspace, nowMs);
  }

  /** Counts the pending requests. */
  count(): number {
    return this.#requests.count();
  }

  #addToDrafts(
    demand: WorkspaceDemand,
    local: number,
    holders: readonly string[],
    drafts: Map<string, RequestDraft>,
    nowMs: number,
  ): void {
    const { workspace } = demand;
    let missing = computeMissing(demand, local) - this.#requests.countExpected(workspace.name);
    if (missing <= ROUNDING_TOLERANCE || holders.length === 0) {
      return;
    }
    const size = computeRequestSize(workspace, missing, holders.length);
    const minTokens = (workspace.rate * MIN_REFILL_MS) / 1_000 / holders.length;
    this.#listByLevel(workspace, holders, nowMs).forEach(({ holder, level }) => {
      const isWorthwhile =
        level + ROUNDING_TOLERANCE >= Math.min(missing, size, Math.max(1, minTokens));
      const isUrgent =
        demand.waiting.size > 0 && this.#estimates.isRetryDue(workspace, holder, nowMs);
      const isRecent = this.#estimates.isRecentlyRequested(workspace, holder, nowMs);
      if (missing <= ROUNDING_TOLERANCE || isRecent || !(isWorthwhile || isUrgent)) {
        return;
      }
      const wanted = Math.min(missing, size, Math.max(1, level));
      const draft = drafts.get(holder) ?? { wanted: new Map(), expected: new Map() };
      draft.wanted.set(workspace.name, wanted);
      draft.expected.set(workspace.name, Math.min(wanted, level));
      drafts.set(holder, draft);
      this.#estimates.recordRequest(workspace, holder, level - wanted, nowMs);
      missing -= Math.min(wanted, level);
    });
  }

  /**
   * Lists the holders in descending order of their estimated tokens. The order of equal ones rotates with every
   * request.
   */
  #listByLevel(
    workspace: Workspace,
    holders: readonly string[],
    nowMs: number,
  ): readonly { holder: string; level: number }[] {
    const first = this.#cursor % holders.length;
    return [...holders.slice(first), ...holders.slice(0, first)]
      .map((holder) => ({
        holder,
        // A VM that has not answered may be unreachable. It counts as empty, so that others are asked at the same time.
        level: this.#requests.hasAnswered(holder)
          ? this.#estimates.read(workspace, holder, holders.length, nowMs)
          : 0,
      }))
      .sort((left, right) => right.level - left.level);
  }

  #createRequest(holder: string, draft: RequestDraft, nowMs: number): ShareCommand {
    const requestId = this.#ids.mint();
    this.#requests.add(requestId, holder, draft.expected, nowMs);
    const wanted = [...draft.wanted].map(([workspace, level]) => ({ workspace, level }));
    const value = protobuf.create(wire.ShareRequestSchema, { requestId, wanted });
    const frame = wire.createFrame({ case: 'shareRequest', value });
    return { kind: 'sendRequest', peer: holder, frame };
  }

  #takeSurplus(demand: WorkspaceDemand, nowMs: number): readonly BorrowedTokens[] {
    const earlyMs = Math.min(EARLY_RETURN_MS, this.#leaseMs * EARLY_RETURN_LEASE_FRACTION);
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
  // Waiting until less than half of the prefetch is left saves messages.
  const isLow = tokens < demand.waiting.size + prefetch / 2;
  return isLow ? demand.waiting.size + prefetch - tokens : 0;
}

function computeRequestSize(workspace: Workspace, missing: number, holders: number): number {
  const isSmall = workspace.burst / holders <= SMALL_CAPACITY_TOKENS;
  return isSmall
    ? Math.max(MIN_REQUEST_TOKENS, missing / Math.min(holders, HOLDERS_PER_SMALL_REQUEST))
    : missing;
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
