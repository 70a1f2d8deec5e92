import type { QueueLevel } from '../admission/index.js';
import type { RandomSource } from '../time/index.js';

/** Admission level of a service as it travels on answers. */
export interface AdmissionLevel extends Omit<QueueLevel, 'workspaces'> {
  readonly service: string;
  /** Workspaces over their fair share; their fraction replaces the general one. */
  readonly workspaces?: QueueLevel['workspaces'];
}

/** Whether a call may be sent on. */
export type PressureDecision =
  | { readonly admitted: true }
  | { readonly admitted: false; readonly service: string; readonly retryAfterMs: number };

interface Entry {
  /** Admitted fraction of the lowest admitted class by workspace, for workspaces over their share. */
  workspaces: ReadonlyMap<string, number>;
  /** Lowest admitted class plus the admitted fraction of it; 4 admits everything. */
  level: number;
  recordedMs: number;
}

/** Level that admits every class. */
const FULL_LEVEL = 4;

/** Classes that a level regains a second when no news comes. */
const RECOVERY_PER_MS = 0.5 / 1000;

/** Smallest time after which a refused caller may come back. */
const RETRY_AFTER_MS = 100;

/** Backpressure of deeper services, from the levels on their answers. */
export class PressureTable {
  readonly #random: RandomSource;

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
    levels.forEach(({ service, lowestClass, fraction, workspaces = [] }) => {
      this.#entries.set(service, {
        level: lowestClass + fraction,
        recordedMs: nowMs,
        workspaces: new Map(workspaces.map((entry) => [entry.workspace, entry.fraction])),
      });
    });
  }

  /**
   * Decides whether a call is sent on or refused early.
   * @param services - Services that the call may touch.
   * @param priority - Class of the call, 0 (highest) to 3.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param workspace - Workspace of the call.
   */
  decide(
    services: readonly string[],
    priority: number,
    nowMs: number,
    workspace?: string,
  ): PressureDecision {
    const service = services.find(
      (name) => this.#random.next() >= this.#readFraction(name, workspace, priority, nowMs),
    );
    if (service === undefined) {
      return { admitted: true };
    }
    const retryAfterMs = Math.ceil(RETRY_AFTER_MS * (1 + this.#random.next()));
    return { admitted: false, service, retryAfterMs };
  }

  /**
   * Lists the levels that are not full.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  list(nowMs: number): readonly AdmissionLevel[] {
    return [...this.#entries.keys()]
      .map((service) => ({ service, level: this.#readLevel(service, nowMs) }))
      .filter(({ level }) => level < FULL_LEVEL)
      .map(({ service, level }) => {
        const lowestClass = Math.min(FULL_LEVEL - 1, Math.floor(level));
        return { service, lowestClass, fraction: level - lowestClass };
      });
  }

  /** Shows the levels for the state dump. */
  snapshot(nowMs: number): object {
    return { levels: this.list(nowMs).slice(0, 64) };
  }

  #readFraction(
    service: string,
    workspace: string | undefined,
    priority: number,
    nowMs: number,
  ): number {
    const level = this.#readLevel(service, nowMs);
    const listed = this.#entries.get(service)?.workspaces.get(workspace ?? '');
    return listed === undefined || Math.floor(level) !== priority
      ? level - priority
      : Math.min(listed, level - priority);
  }

  #readLevel(service: string, nowMs: number): number {
    const entry = this.#entries.get(service);
    if (entry === undefined) {
      return FULL_LEVEL;
    }
    return Math.min(FULL_LEVEL, entry.level + (nowMs - entry.recordedMs) * RECOVERY_PER_MS);
  }
}
