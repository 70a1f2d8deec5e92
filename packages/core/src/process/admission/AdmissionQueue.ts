import { createRefusal } from '../../request/index.js';
import type { RefusalReason } from '../../request/index.js';
import type { RandomSource } from '../time/index.js';
import type {
  AdmissionDecision,
  AdmissionEnd,
  AdmissionItem,
  BackendState,
  CancelResult,
  QueueLevel,
  QueueLoad,
} from './AdmissionItem.js';
import { ConcurrencyLimit } from './ConcurrencyLimit.js';
import { FairQueue } from './FairQueue.js';

interface Running {
  readonly item: AdmissionItem;
  readonly startedMs: number;
}

/** Queued calls wait this long for a backend server that is down. */
const DOWN_GRACE_MS = 500;

/** Smallest time after which a refused caller may come back. */
const RETRY_AFTER_MS = 50;

/** Decides which call runs next on one backend server, and which is refused without running. */
export class AdmissionQueue {
  readonly #random: RandomSource;

  readonly #classes = [new FairQueue(), new FairQueue(), new FairQueue(), new FairQueue()];

  readonly #running = new Map<string, Running>();

  readonly #limit: ConcurrencyLimit;

  #capacity: number;

  #backend: BackendState = 'up';

  #backendSinceMs = 0;

  #cancelledMs: number | undefined;

  /** @param options - Declared slots, calls that may wait, and the source of the jitter. */
  constructor(options: { slots: number; queue: number; random: RandomSource }) {
    this.#random = options.random;
    this.#capacity = options.queue;
    this.#limit = new ConcurrencyLimit({ slots: options.slots });
  }

  /**
   * Takes the limits of a new bundle.
   * @param limits - Declared slots and calls that may wait.
   */
  configure(limits: { slots: number; queue: number }): void {
    this.#limit.configure(limits.slots);
    this.#capacity = limits.queue;
  }

  /**
   * Offers a call.
   * @param item - The call.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  offer(item: AdmissionItem, nowMs: number): readonly AdmissionDecision[] {
    if (this.#backend === 'draining') {
      return [this.#refuse(item, 'leaving')];
    }
    this.#findClass(item).add(item);
    return [...this.#dropExcess(), ...this.#dispatch(nowMs)];
  }

  /**
   * Records the end of a run.
   * @param callId - Call that ran.
   * @param end - How the run ended.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  finish(callId: string, end: AdmissionEnd, nowMs: number): readonly AdmissionDecision[] {
    const run = this.#running.get(callId);
    if (run === undefined) {
      return [];
    }
    this.#limit.record(
      {
        end,
        latencyMs: nowMs - run.startedMs,
        inFlight: this.#running.size,
        queued: this.#countQueued(),
      },
      nowMs,
    );
    this.#running.delete(callId);
    return this.#dispatch(nowMs);
  }

  /**
   * Removes a call that is no longer wanted. A running call keeps its slot until `finish`.
   * @param callId - The call.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  cancel(callId: string, nowMs: number): CancelResult {
    this.#cancelledMs = nowMs;
    if (this.#running.has(callId)) {
      return 'running';
    }
    return this.removeWhere((item) => item.callId === callId).length > 0 ? 'dequeued' : 'absent';
  }

  /**
   * Removes queued calls without a decision about them.
   * @param predicate - True for a call to be removed.
   */
  removeWhere(predicate: (item: AdmissionItem) => boolean): readonly AdmissionItem[] {
    return this.#classes.flatMap((queue) => queue.removeWhere(predicate));
  }

  /**
   * Takes the state of the backend server. While it is down, queued calls wait for a short time.
   * @param state - New state.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  setBackend(state: BackendState, nowMs: number): readonly AdmissionDecision[] {
    if (state === this.#backend) {
      return [];
    }
    if (this.#backend === 'down') {
      this.#limit.reset();
    }
    this.#backend = state;
    this.#backendSinceMs = nowMs;
    return state === 'draining' ? this.#refuseQueued('leaving') : this.#dispatch(nowMs);
  }

  /**
   * Refuses what has waited too long; to be called on every tick.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): readonly AdmissionDecision[] {
    if (this.#backend === 'down' && nowMs - this.#backendSinceMs >= DOWN_GRACE_MS) {
      return this.#refuseQueued('noBackend');
    }
    const expired = this.removeWhere((item) => item.deadlineMs <= nowMs);
    return [
      ...expired.map((item) => this.#refuse(item, 'deadlineExpired')),
      ...this.#dispatch(nowMs),
    ];
  }

  /**
   * Reads what callers should still send.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  readLevel(nowMs: number): QueueLevel {
    const isUp = this.#backend === 'up' || nowMs - this.#backendSinceMs < DOWN_GRACE_MS;
    const isFull = this.#countQueued() >= this.#capacity / 2;
    const fraction = isUp && !isFull ? 1 : 0.5;
    return { lowestClass: 3, fraction, workspaces: [] };
  }

  /** Reads the load that travels on answers. */
  readLoad(): QueueLoad {
    return {
      inFlight: this.#running.size,
      queued: this.#countQueued(),
      limit: this.#limit.read(),
    };
  }

  /** Shows the queue for the state dump. */
  snapshot(nowMs: number): object {
    return {
      backend: this.#backend,
      backendSinceMs: nowMs - this.#backendSinceMs,
      cancelledForMs: this.#cancelledMs === undefined ? null : nowMs - this.#cancelledMs,
      load: this.readLoad(),
      level: this.readLevel(nowMs),
      limit: this.#limit.snapshot(),
      classes: this.#classes.map((queue) => queue.snapshot(8)),
    };
  }

  #findClass(item: AdmissionItem): FairQueue {
    return this.#classes[Math.max(0, Math.min(this.#classes.length - 1, item.priority))];
  }

  #countQueued(): number {
    return this.#classes.reduce((sum, queue) => sum + queue.size, 0);
  }

  #dropExcess(): readonly AdmissionDecision[] {
    if (this.#countQueued() <= this.#capacity) {
      return [];
    }
    const dropped = [...this.#classes]
      .reverse()
      .find((queue) => queue.size > 0)
      ?.dropOverShare();
    return dropped === undefined ? [] : [this.#refuse(dropped, 'overloaded')];
  }

  #dispatch(nowMs: number): readonly AdmissionDecision[] {
    const decisions: AdmissionDecision[] = [];
    let next = this.#findStartable();
    while (next !== undefined) {
      const item = this.#findClass(next).take();
      decisions.push(this.#startOrRefuse(item ?? next, nowMs));
      next = this.#findStartable();
    }
    return decisions;
  }

  #findStartable(): AdmissionItem | undefined {
    const runsAlone = [...this.#running.values()].some((run) => run.item.suspect);
    if (this.#backend !== 'up' || runsAlone || this.#running.size >= this.#limit.read()) {
      return undefined;
    }
    const next = this.#classes.find((queue) => queue.size > 0)?.findNext();
    return next?.suspect === true && this.#running.size > 0 ? undefined : next;
  }

  #startOrRefuse(item: AdmissionItem, nowMs: number): AdmissionDecision {
    if (item.deadlineMs <= nowMs) {
      return this.#refuse(item, 'deadlineExpired');
    }
    this.#running.set(item.callId, { item, startedMs: nowMs });
    return { kind: 'run', callId: item.callId };
  }

  #refuseQueued(reason: RefusalReason): readonly AdmissionDecision[] {
    return this.removeWhere(() => true).map((item) => this.#refuse(item, reason));
  }

  #refuse(item: AdmissionItem, reason: RefusalReason): AdmissionDecision {
    const retryAfterMs = Math.ceil(RETRY_AFTER_MS * (1 + this.#random.next()));
    return {
      kind: 'refuse',
      callId: item.callId,
      refusal: createRefusal(reason, { retryAfterMs }),
    };
  }
}
