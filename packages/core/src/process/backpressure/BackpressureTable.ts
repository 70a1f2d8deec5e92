import * as bounds from '../bounds/index.js';
import type { QueueAdmissionLevel } from '../admission/index.js';
import type { RandomSource } from '../time/index.js';

/** Admission level of a service as it is sent with answers. */
export interface AdmissionLevel extends Omit<QueueAdmissionLevel, 'workspaces'> {
  readonly service: string;
  /** Workspaces over their fair share, with the fraction that replaces the general one. */
  readonly workspaces?: QueueAdmissionLevel['workspaces'];
}

/** Whether a call may be sent, or which service it is refused for and when the caller may retry. */
export type BackpressureDecision =
  | { readonly admitted: true }
  | { readonly admitted: false; readonly service: string; readonly retryAfterMs: number };

/** Levels of one service. A level is a number: the lowest admitted class plus the admitted fraction of that class. */
interface Entry {
  level: number;
  readonly byWorkspace: Map<string, number>;
  recordedMs: number;
}

/** Level that admits all classes completely. */
const FULL_LEVEL = 4;

/** Smallest level, at which a few calls of class 0 still probe the service. */
const PROBE_LEVEL = 0.01;

/**
 * EWMA weights of a new level that is higher or lower than the known one. Each VM of a service reports its own level.
 * While only some VMs are overloaded, the router and retries use the others, so shedding must not follow the most
 * overloaded VM.
 */
const RISE_WEIGHT = 0.5;
const FALL_WEIGHT = 0.15;

/** After this time without a report, a level begins to rise, so that calls detect the recovery of the service. */
const SILENCE_MS = 1000;

/** Rise of a level without reports, in classes a millisecond: one class a second. */
const RECOVERY_PER_MS = 1 / 1000;

/** A smaller fraction counts as not admitted. */
const MIN_FRACTION = 0.01;

/** Mean time after which a refused caller may retry: a base, and an addition in proportion to the shed fraction. */
const RETRY_AFTER_MS = 100;
const RETRY_AFTER_SHED_MS = 900;

/** Largest numbers of services kept and shown in the state dump; the least recently updated one is evicted first. */
const MAX_SERVICES = 4096;
const SNAPSHOT_SERVICES = 64;

/** Largest number of workspaces listed in a level that is sent to callers. */
const LEVEL_WORKSPACES = 8;

/**
 * Backpressure from called services: keeps the admission levels that came with their answers, and refuses calls early
 * that those services would shed.
 */
export class BackpressureTable {
  readonly #random: RandomSource;

  /** Least recently updated service first. */
  readonly #entries = new Map<string, Entry>();

  /** @param options - `random`: source of the shedding decisions and of the jitter in retry times. */
  constructor(options: { random: RandomSource }) {
    this.#random = options.random;
  }

  /**
   * Records the levels that came with an answer or a refusal.
   * @param levels - Levels of the services that the call reached.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  record(levels: readonly AdmissionLevel[], nowMs: number): void {
    levels.forEach((level) => {
      const entry = this.#resolveEntry(level.service, nowMs);
      applyLevel(entry, level);
      entry.recordedMs = nowMs;
      bounds.setWithLimit(this.#entries, level.service, entry, MAX_SERVICES);
    });
  }

  /**
   * Decides whether a call is sent or refused early.
   * @param services - Services that the call may reach.
   * @param priority - Class of the call, 0 (highest) to 3.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param workspace - Workspace of the call; without it, only the general fraction applies.
   */
  decide(
    services: readonly string[],
    priority: number,
    nowMs: number,
    workspace?: string,
  ): BackpressureDecision {
    const probabilities = services.map((name) =>
      this.#computeProbability(name, workspace, priority, nowMs),
    );
    const shed = probabilities.findIndex((probability) => this.#random.next() >= probability);
    if (shed < 0) {
      return { admitted: true };
    }
    const meanMs = RETRY_AFTER_MS + RETRY_AFTER_SHED_MS * (1 - probabilities[shed]);
    const retryAfterMs = Math.ceil(meanMs * (0.5 + this.#random.next()));
    return { admitted: false, service: services[shed], retryAfterMs };
  }

  /**
   * Lists the levels of services that do not admit everything, to be sent to callers.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  list(nowMs: number): readonly AdmissionLevel[] {
    return [...this.#entries.keys()]
      .filter((service) => this.#readLevel(service, undefined, nowMs) < FULL_LEVEL)
      .map((service) => this.#createLevel(service, nowMs));
  }

  /**
   * Describes the level of a service, for log lines.
   * @param service - Name of the service.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The admission level and the time since the last report, in milliseconds; empty if there was no report.
   */
  describe(service: string, nowMs: number): Readonly<Record<string, number | undefined>> {
    const entry = this.#entries.get(service);
    return entry === undefined
      ? {}
      : {
          admissionLevel: this.#readLevel(service, undefined, nowMs),
          loadAgeMs: nowMs - entry.recordedMs,
        };
  }

  /** Returns the most recently updated levels for the state dump; `nowMs` is monotonic. */
  snapshot(nowMs: number): object {
    const levels = this.list(nowMs);
    return { count: levels.length, levels: levels.slice(-SNAPSHOT_SERVICES) };
  }

  #computeProbability(
    service: string,
    workspace: string | undefined,
    priority: number,
    nowMs: number,
  ): number {
    const level = this.#readLevel(service, undefined, nowMs);
    const isLowerAdmitted = level > priority + 1 + MIN_FRACTION;
    const applied = isLowerAdmitted ? level : this.#readLevel(service, workspace, nowMs);
    return Math.max(0, Math.min(1, applied - priority));
  }

  #readLevel(service: string, workspace: string | undefined, nowMs: number): number {
    const entry = this.#entries.get(service);
    if (entry === undefined) {
      return FULL_LEVEL;
    }
    const own = workspace === undefined ? undefined : entry.byWorkspace.get(workspace);
    const silentMs = Math.max(0, nowMs - entry.recordedMs - SILENCE_MS);
    const level = (own ?? entry.level) + silentMs * RECOVERY_PER_MS;
    return Math.max(PROBE_LEVEL, Math.min(FULL_LEVEL, level));
  }

  #createLevel(service: string, nowMs: number): AdmissionLevel {
    const level = this.#readLevel(service, undefined, nowMs);
    const lowestClass = Math.min(FULL_LEVEL - 1, Math.ceil(level) - 1);
    const listed = [...(this.#entries.get(service)?.byWorkspace.keys() ?? [])]
      .map((workspace) => ({ workspace, level: this.#readLevel(service, workspace, nowMs) }))
      .sort((left, right) => left.level - right.level)
      .slice(0, LEVEL_WORKSPACES);
    return {
      service,
      lowestClass,
      fraction: level - lowestClass,
      workspaces: listed.map((own) => ({
        workspace: own.workspace,
        fraction: Math.max(0, Math.min(1, own.level - lowestClass)),
      })),
    };
  }

  #resolveEntry(service: string, nowMs: number): Entry {
    const known = this.#entries.get(service);
    if (known !== undefined && nowMs - known.recordedMs < SILENCE_MS) {
      return known;
    }
    const level = this.#readLevel(service, undefined, nowMs);
    return { level, byWorkspace: new Map(), recordedMs: nowMs };
  }
}

function applyLevel(entry: Entry, update: AdmissionLevel): void {
  const general = update.lowestClass + update.fraction;
  const reported = new Map(
    (update.workspaces ?? []).map((own) => [own.workspace, update.lowestClass + own.fraction]),
  );
  new Set([...entry.byWorkspace.keys(), ...reported.keys()]).forEach((workspace) => {
    const before = entry.byWorkspace.get(workspace) ?? entry.level;
    entry.byWorkspace.set(
      workspace,
      computeSmoothedLevel(before, reported.get(workspace) ?? general),
    );
  });
  Object.assign(entry, { level: computeSmoothedLevel(entry.level, general) });
  entry.byWorkspace.forEach((level, workspace) => {
    if (!reported.has(workspace) && level >= entry.level - MIN_FRACTION) {
      entry.byWorkspace.delete(workspace);
    }
  });
}

function computeSmoothedLevel(level: number, target: number): number {
  const weight = target > level ? RISE_WEIGHT : FALL_WEIGHT;
  return level + weight * (target - level);
}
