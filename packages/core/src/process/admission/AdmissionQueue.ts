import { createRefusal } from '../../request/index.js';
import type { RefusalReason } from '../../request/index.js';
import type { RandomSource } from '../time/index.js';
import type {
  AdmissionDecision,
  RunOutcome,
  AdmissionItem,
  BackendState,
  CancelResult,
  QueueAdmissionLevel,
  QueueLoad,
} from './AdmissionItem.js';
import { PriorityQueues } from './PriorityQueues.js';
import type { AdmissionPolicy } from './AdmissionPolicy.js';
import { ConcurrencyLimit } from './ConcurrencyLimit.js';
import { DeclaredLimit } from './DeclaredLimit.js';
import type { SlotLimit } from './SlotLimit.js';
import { AdmissionLevelController } from './AdmissionLevelController.js';
import { RatePacer } from './RatePacer.js';
import { RunningCalls } from './RunningCalls.js';
import { ServiceTimeEstimate } from './ServiceTimeEstimate.js';
import { WaitEstimate } from './WaitEstimate.js';

/** Time for which calls stay queued while the backend server is down; afterwards they are refused. */
const DOWN_GRACE_MS = 500;

/** Longest time in the queue. A call that has waited longer is refused, or a less important one instead. */
const MAX_WAIT_MS = 400;

/** A call that has waited this long may preempt a running call. */
const PREEMPT_WAIT_MS = 200;

/** Bounds of the mean time after which a refused caller may retry, in milliseconds. */
const RETRY_AFTER_MS = [50, 5000] as const;

const DEFAULT_POLICY: AdmissionPolicy = {
  limit: 'adaptive',
  order: 'arrival',
  isPreemptionEnabled: true,
};

const LIMIT_FACTORIES: Readonly<Record<AdmissionPolicy['limit'], (slots: number) => SlotLimit>> = {
  adaptive: (slots) => new ConcurrencyLimit({ slots }),
  declared: (slots) => new DeclaredLimit(slots),
};

/**
 * Admission queue of one backend server: decides which call runs next, which is refused without running and which
 * running call is preempted. Methods that return decisions expect the caller to carry out all of them, in order.
 */
export class AdmissionQueue {
  readonly #random: RandomSource;

  readonly #classes: PriorityQueues;

  readonly #running = new RunningCalls();

  readonly #serviceTime = new ServiceTimeEstimate();

  readonly #limit: SlotLimit;

  readonly #pacer = new RatePacer();

  readonly #preempts: boolean;

  readonly #wait: WaitEstimate;

  readonly #levelController = new AdmissionLevelController();

  #slots: number;

  #capacity: number;

  #backend: BackendState = 'up';

  #backendSinceMs = 0;

  /**
   * @param options - `slots`: calls that the backend server is declared to run at once; `queue`: largest number of
   * queued calls; `random`: source of the jitter in retry times.
   */
  constructor(options: {
    slots: number;
    queue: number;
    random: RandomSource;
    policy?: AdmissionPolicy;
  }) {
    this.#random = options.random;
    this.#slots = options.slots;
    this.#capacity = options.queue;
    const { limit, isPreemptionEnabled: preempts, order } = options.policy ?? DEFAULT_POLICY;
    this.#classes = new PriorityQueues(order);
    this.#preempts = preempts;
    this.#limit = LIMIT_FACTORIES[limit](options.slots);
    this.#wait = new WaitEstimate({
      classes: this.#classes,
      running: this.#running,
      limit: { read: (nowMs) => this.#readPacedLimit(nowMs) },
      serviceTime: this.#serviceTime,
      isNewestFirst: order === 'newest',
    });
  }

  /**
   * Applies the limits of a new bundle.
   * @param limits - Declared slots and largest number of queued calls.
   */
  configure(limits: { slots: number; queue: number }): void {
    this.#slots = limits.slots;
    this.#limit.configure(limits.slots);
    this.#capacity = limits.queue;
  }

  /**
   * Applies the rate limit that the backend server named in an answer.
   * @param perSecond - Calls a second; undefined if it named none.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  setRateLimit(perSecond: number | undefined, nowMs: number): readonly AdmissionDecision[] {
    const isChanged = perSecond !== this.#pacer.perSecond;
    this.#pacer.configure(perSecond, nowMs);
    return isChanged ? this.#dispatch(nowMs) : [];
  }

  /**
   * Adopts a rate limit that a peer has heard, while the backend server has not answered this process.
   * @param perSecond - Calls a second.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  adoptRateLimit(perSecond: number, nowMs: number): void {
    this.#pacer.adopt(perSecond, nowMs);
  }

  /**
   * Adds a call to the queue, or refuses it if the backend server is unavailable or the deadline cannot be met.
   * @param item - The call.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Decisions about this call and others.
   */
  offer(item: AdmissionItem, nowMs: number): readonly AdmissionDecision[] {
    if (this.#backend === 'draining') {
      return [this.#refuse(item, 'leaving', nowMs)];
    }
    if (this.#isDownForLong(nowMs)) {
      return [this.#refuse(item, 'noBackend', nowMs)];
    }
    this.#levelController.recordArrival(item, nowMs);
    if (this.#wait.isDeadlineUnreachable(item, nowMs)) {
      return [this.#refuse(item, 'deadlineExpired', nowMs)];
    }
    this.#classes.add(item);
    return [...this.#dispatch(nowMs), ...this.#dropExcess(nowMs)];
  }

  /**
   * Records the end of a run, which frees its slot. Does nothing if the call does not run.
   * @param callId - Call that ran.
   * @param end - How the run ended.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  finish(callId: string, end: RunOutcome, nowMs: number): readonly AdmissionDecision[] {
    const inFlight = this.#running.size;
    const call = this.#running.end(callId);
    if (call === undefined) {
      return [];
    }
    const latencyMs = nowMs - call.startedMs;
    this.#limit.record({ outcome: end, latencyMs, inFlight, queued: this.#classes.size }, nowMs);
    if (end === 'answered') {
      this.#serviceTime.record(call.item.cost, latencyMs, nowMs);
      this.#levelController.recordServed(call.item.cost, nowMs);
    }
    return this.#dispatch(nowMs);
  }

  /**
   * Cancels a call for its caller. A queued call is removed; a running call keeps its slot until `finish`.
   * @param callId - The call.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  cancel(callId: string, nowMs: number): CancelResult {
    if (this.#running.markEnding(callId)) {
      return 'running';
    }
    this.#levelController.advance(nowMs, this.#wait.isBacklogged(nowMs));
    return this.removeWhere((item) => item.callId === callId).length > 0 ? 'dequeued' : 'absent';
  }

  /**
   * Removes matching calls from the queue without deciding about them.
   * @param predicate - Returns true for a call to be removed.
   * @returns The removed calls.
   */
  removeWhere(predicate: (item: AdmissionItem) => boolean): readonly AdmissionItem[] {
    return this.#classes.removeWhere(predicate);
  }

  /**
   * Sets the state of the backend server. While it is down, calls stay queued for a short time. When it comes back, the
   * concurrency limit is reset. When it drains, all queued calls are refused.
   * @param state - New state.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  setBackendState(state: BackendState, nowMs: number): readonly AdmissionDecision[] {
    if (state === this.#backend) {
      return [];
    }
    if (this.#backend === 'down') {
      this.#limit.reset();
    }
    this.#backend = state;
    this.#backendSinceMs = nowMs;
    return state === 'draining' ? this.#refuseQueued('leaving', nowMs) : this.#dispatch(nowMs);
  }

  /**
   * Refuses calls that have waited too long or can no longer meet their deadline, and starts others; called on every
   * tick.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(nowMs: number): readonly AdmissionDecision[] {
    if (this.#isDownForLong(nowMs)) {
      return this.#refuseQueued('noBackend', nowMs);
    }
    const late = this.removeWhere((item) => this.#wait.isTooLateToStart(item, nowMs));
    const refused = late.map((item) => this.#refuse(item, 'deadlineExpired', nowMs));
    const decisions = [...refused, ...this.#dropOverdue(nowMs), ...this.#dispatch(nowMs)];
    this.#levelController.advance(nowMs, this.#wait.isBacklogged(nowMs));
    return decisions;
  }

  /**
   * Reads the admission level: which classes, and which fraction of them, callers should still send.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  readLevel(nowMs: number): QueueAdmissionLevel {
    this.#levelController.advance(nowMs, this.#wait.isBacklogged(nowMs));
    return this.#levelController.read();
  }

  /**
   * Reads the load that is sent with answers.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  readLoad(nowMs: number): QueueLoad {
    return {
      inFlight: this.#running.size,
      queued: this.#classes.size,
      limit: this.#readPacedLimit(nowMs),
      rateLimit: this.#pacer.perSecond ?? 0,
    };
  }

  /** Returns the state of the queue for the state dump; `nowMs` is monotonic. */
  snapshot(nowMs: number): object {
    return {
      backend: this.#backend,
      backendSinceMs: nowMs - this.#backendSinceMs,
      load: this.readLoad(nowMs),
      serviceTimeMs: this.#serviceTime.readMeanMs(nowMs),
      level: this.readLevel(nowMs),
      limit: this.#limit.snapshot(),
      running: this.#running.snapshot(),
      classes: this.#classes.snapshot(),
    };
  }

  /** Reads how many calls run at once within the concurrency limit and the rate limit. */
  #readPacedLimit(nowMs: number): number {
    const meanMs = this.#serviceTime.readMeanMs(nowMs);
    return Math.min(this.#limit.read(), this.#pacer.computeConcurrency(meanMs));
  }

  #isDownForLong(nowMs: number): boolean {
    return this.#backend === 'down' && nowMs - this.#backendSinceMs >= DOWN_GRACE_MS;
  }

  #dropExcess(nowMs: number): readonly AdmissionDecision[] {
    const excess = this.#classes.size - this.#wait.computeQueueCapacity(this.#capacity, nowMs);
    return this.#dropLowest(Math.max(0, excess), nowMs);
  }

  /**
   * Refuses one call for each that has waited too long: the call itself if it is of the least important class that
   * waits, otherwise a call of that class.
   */
  #dropOverdue(nowMs: number): readonly AdmissionDecision[] {
    const isOverdue = (item: AdmissionItem): boolean => nowMs - item.arrivedMs > MAX_WAIT_MS;
    if (this.#backend !== 'up') {
      return [];
    }
    const lowest = this.#classes.removeLowestWhere(isOverdue);
    const others = this.#classes.countWhere(isOverdue);
    const refused = lowest.map((item) => this.#refuse(item, 'overloaded', nowMs));
    return [...refused, ...this.#dropLowest(others, nowMs)];
  }

  #dropLowest(count: number, nowMs: number): readonly AdmissionDecision[] {
    return Array.from({ length: count }, () => this.#classes.dropLowest(nowMs))
      .filter((item) => item !== undefined)
      .map((item) => this.#refuse(item, 'overloaded', nowMs));
  }

  #dispatch(nowMs: number): readonly AdmissionDecision[] {
    const decisions: AdmissionDecision[] = [];
    while (this.#canStart(nowMs)) {
      const item = this.#classes.take(nowMs);
      if (item !== undefined) {
        decisions.push(this.#startOrRefuse(item, nowMs));
      }
    }
    return [...decisions, ...this.#preempt(nowMs)];
  }

  #canStart(nowMs: number): boolean {
    const isFull = this.#running.size >= this.#limit.read();
    const isPaced = !this.#pacer.canTake(nowMs);
    if (this.#backend !== 'up' || isFull || isPaced || this.#running.hasSuspect()) {
      return false;
    }
    const next = this.#classes.findNext(nowMs);
    return next !== undefined && (!next.suspect || this.#running.size === 0);
  }

  #startOrRefuse(item: AdmissionItem, nowMs: number): AdmissionDecision {
    if (this.#wait.isTooLateToStart(item, nowMs)) {
      return this.#refuse(item, 'deadlineExpired', nowMs);
    }
    this.#running.begin(item, nowMs);
    this.#pacer.take();
    return { kind: 'run', callId: item.callId };
  }

  #preempt(nowMs: number): readonly AdmissionDecision[] {
    const next = this.#classes.findNext(nowMs);
    if (
      !this.#preempts ||
      next === undefined ||
      this.#backend !== 'up' ||
      this.#running.hasSuspect()
    ) {
      return [];
    }
    const isUrgent = nowMs - next.arrivedMs >= PREEMPT_WAIT_MS || this.#wait.isUrgent(next, nowMs);
    const isPending = this.#running.countEnding() >= this.#classes.countByPriority(next.priority);
    const victim =
      isUrgent && !isPending
        ? this.#running.selectVictim(next.priority, this.#slots, nowMs)
        : undefined;
    if (victim === undefined) {
      return [];
    }
    victim.isEnding = true;
    return [{ kind: 'preempt', callId: victim.item.callId }];
  }

  #refuseQueued(reason: RefusalReason, nowMs: number): readonly AdmissionDecision[] {
    return this.removeWhere(() => true).map((item) => this.#refuse(item, reason, nowMs));
  }

  #refuse(item: AdmissionItem, reason: RefusalReason, nowMs: number): AdmissionDecision {
    if (reason === 'overloaded' || reason === 'deadlineExpired') {
      this.#levelController.recordRefusal(nowMs);
    }
    const [shortestMs, longestMs] = RETRY_AFTER_MS;
    const meanMs = Math.min(longestMs, shortestMs + 2 * this.#wait.computeBacklogMs(nowMs));
    const retryAfterMs = Math.ceil(meanMs * (0.5 + this.#random.next()));
    const refusal = createRefusal(reason, { outcome: 'notRun', retryAfterMs });
    return { kind: 'refuse', callId: item.callId, refusal };
  }
}
