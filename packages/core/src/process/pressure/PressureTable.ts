import * as bounds from '../bounds/index.js';
import type { QueueAdmissionLevel } from '../admission/index.js';
import type { RandomSource } from '../time/index.js';

/** Admission level of a service as it travels on answers. */
export interface AdmissionLevel extends Omit<QueueAdmissionLevel, 'workspaces'> {
  readonly service: string;
  /** Workspaces over their fair share; their fraction replaces the general one. */
  readonly workspaces?: QueueAdmissionLevel['workspaces'];
}

/** Whether a call may be sent on. */
export type PressureDecision =
  | { readonly admitted: true }
  | { readonly admitted: false; readonly service: string; readonly retryAfterMs: number };

/** Levels are numbers: lowest admitted class plus the admitted fraction of it. */
interface Entry {
  level: number;
  readonly byWorkspace: Map<string, number>;
  recordedMs: number;
}

/** Level that admits every class. */
const FULL_LEVEL = 4;

/** Smallest level, so that some calls of class 0 always probe the service. */
const PROBE_LEVEL = 0.01;

/**
 * Weights of a new level that is higher or lower. The VMs of a service send their own levels: while only some are
 * overloaded, the router and retries use the others, so that early shedding must not follow the worst VM.
 */
const RISE_WEIGHT = 0.5;
const FALL_WEIGHT = 0.15;

/** Without news for this long, a level begins to rise, so that probes find the recovery. */
const SILENCE_MS = 1000;

/** Classes that a level regains a second without news. */
const RECOVERY_PER_MS = 1 / 1000;

/** Less than this counts as not admitted. */
const TRACE_FRACTION = 0.01;

/** Smallest mean time after which a refused caller may come back, and its growth with the shed fraction. */
const RETRY_AFTER_MS = 100;
const RETRY_AFTER_SHED_MS = 900;

/** Entries that are kept and shown; the service heard of least recently is forgotten first. */
const SERVICES = 4096;
const SNAPSHOT_SERVICES = 64;

/** Workspaces on a level that is passed on. */
const LEVEL_WORKSPACES = 8;

/** Backpressure of deeper services, from the levels on their answers. */
export class PressureTable {
  readonly #random: RandomSource;

  /** In the order of the last news, oldest first. */
  readonly #entries = new Map<string, Entry>();

  /** @param options - Source of the shedding decisions and of jitter. */
  constructor(options: { random: RandomSource }) {
    this.#random = options.random;
  }

  /**
   * Records the levels of an answer.
   * @param levels - One for each service that the call touched.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  record(levels: readonly AdmissionLevel[], nowMs: number): void {
    levels.forEach((level) => {
      const entry = this.#resolveEntry(level.service, nowMs);
      applyLevel(entry, level);
      entry.recordedMs = nowMs;
      bounds.setNewest(this.#entries, level.service, entry, SERVICES);
    });
  }

  /**
   * Decides whether a call is sent on or refused early.
   * @param services - Services that the call may touch.
   * @param priority - Class of the call, 0 (highest) to 3.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param workspace - Workspace of the call; without it, only the general fraction applies.
   */
  decide(
    services: readonly string[],
    priority: number,
    nowMs: number,
    workspace?: string,
  ): PressureDecision {
    const chances = services.map((name) => this.#readChance(name, workspace, priority, nowMs));
    const shed = chances.findIndex((chance) => this.#random.next() >= chance);
    if (shed < 0) {
      return { admitted: true };
    }
    const meanMs = RETRY_AFTER_MS + RETRY_AFTER_SHED_MS * (1 - chances[shed]);
    const retryAfterMs = Math.ceil(meanMs * (0.5 + this.#random.next()));
    return { admitted: false, service: services[shed], retryAfterMs };
  }

  /**
   * Lists the levels that are not full, to be passed on.
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
   * @returns The level at which the service admits, and the time since it was last heard, in milliseconds.
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

  /** Shows the levels for the state dump, the newest ones. */
  snapshot(nowMs: number): object {
    const levels = this.list(nowMs);
    return { count: levels.length, levels: levels.slice(-SNAPSHOT_SERVICES) };
  }

  #readChance(
    service: string,
    workspace: string | undefined,
    priority: number,
    nowMs: number,
  ): number {
    const level = this.#readLevel(service, undefined, nowMs);
    const isLowerAdmitted = level > priority + 1 + TRACE_FRACTION;
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

function applyLevel(entry: Entry, news: AdmissionLevel): void {
  const general = news.lowestClass + news.fraction;
  const told = new Map(
    (news.workspaces ?? []).map((own) => [own.workspace, news.lowestClass + own.fraction]),
  );
  new Set([...entry.byWorkspace.keys(), ...told.keys()]).forEach((workspace) => {
    const before = entry.byWorkspace.get(workspace) ?? entry.level;
    entry.byWorkspace.set(workspace, approach(before, told.get(workspace) ?? general));
  });
  Object.assign(entry, { level: approach(entry.level, general) });
  entry.byWorkspace.forEach((level, workspace) => {
    if (!told.has(workspace) && level >= entry.level - TRACE_FRACTION) {
      entry.byWorkspace.delete(workspace);
    }
  });
}

function approach(level: number, target: number): number {
  const weight = target > level ? RISE_WEIGHT : FALL_WEIGHT;
  return level + weight * (target - level);
}
