import type { LoadHint, RoutingOutcome } from './RoutingOutcome.js';

/** EWMA weight of a new sample in the latency and in the failure score. */
const SAMPLE_WEIGHT = 0.2;

/**
 * Time constant with which an old observation decays to the latency of the other VMs, so that a slow VM is tried again.
 */
const OBSERVATION_DECAY_MS = 10_000;

/** Time constant with which the load of the last answer loses its weight. */
const LOAD_DECAY_MS = 2000;

/** Failure score of each outcome. A refusal weighs less than a failure because it may only mean load. */
const FAILURE_SCORES = { answered: 0, refused: 0.7, failed: 1 } as const;

/** A VM with a failure score of 1 is rated as if its latency were higher by this multiple. */
const FAILURE_PENALTY = 20;

/** Length of slow start, for a VM that is new, restarted or back from an ejection. */
const SLOW_START_MS = 10_000;

/** Fraction of its normal number of calls that a VM gets at the beginning of slow start. */
const FIRST_FRACTION = 0.1;

/**
 * A VM may be ejected from this failure score, this number of outcomes, and this excess over the mean score of the
 * others.
 */
const EJECTION_SCORE = 0.5;
const EJECTION_SAMPLES = 8;
const EJECTION_MARGIN = 0.3;

/** Length of the first ejection, doubled for each further one, and the greatest length. */
const FIRST_EJECTION_MS = 5000;
const MAX_EJECTION_MS = 160_000;

/** After this time without an ejection, the next one has the first length again. */
const EJECTION_RESET_MS = 300_000;

const SECOND_MS = 1_000;

/** A VM whose link is down becomes a candidate again after this time, so that the link is tried again. */
const LINK_RETRY_MS = 1000;

/** What this node has observed of one VM: calls in flight, latency, failures, ejections and the state of the link. */
export class VmStatistics {
  #inFlight = 0;

  #latencyMs: number | undefined;

  #failureScore = 0;

  #samples = 0;

  #load: LoadHint | undefined;

  /** Rate limit that the VM last reported, in calls a second; 0 if none. It outlives a restart of the VM's node. */
  #rateLimit = 0;

  /** Time until which the reported queue occupies a VM with a rate limit, in monotonic milliseconds. */
  #fullUntilMs = -Infinity;

  #observedMs: number;

  #startedMs: number;

  #ejections = 0;

  #ejectedMs = -Infinity;

  #ejectedUntilMs = -Infinity;

  #linkDownMs: number | undefined;

  #lastUsedMs: number;

  /** @param nowMs - Time at which the VM was first seen, in monotonic milliseconds. */
  constructor(nowMs: number) {
    this.#observedMs = nowMs;
    this.#startedMs = nowMs;
    this.#lastUsedMs = nowMs;
  }

  /** Calls of this node to the VM that have not ended. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Time at which the last call was sent, in monotonic milliseconds. */
  get lastUsedMs(): number {
    return this.#lastUsedMs;
  }

  /** Smoothed latency of answers in milliseconds, or undefined before the first one. */
  get latencyMs(): number | undefined {
    return this.#latencyMs;
  }

  /** Smoothed failure score of the outcomes, from 0 (all answered) to 1 (all failed). */
  get failureScore(): number {
    return this.#failureScore;
  }

  /** Rate limit that the VM last reported, in calls a second; 0 if none. */
  get rateLimit(): number {
    return this.#rateLimit;
  }

  /** Returns whether a VM with a rate limit has served the queue that it last reported; `nowMs` is monotonic. */
  hasRoom(nowMs: number): boolean {
    return nowMs >= this.#fullUntilMs;
  }

  /** Records that a call was sent; `nowMs` is monotonic. */
  recordSent(nowMs: number): void {
    this.#inFlight += 1;
    this.#lastUsedMs = nowMs;
  }

  /**
   * Records the end of a call. A cancelled call changes only the calls in flight and the load.
   * @param outcome - How the call ended.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordOutcome(outcome: RoutingOutcome, nowMs: number): void {
    this.#inFlight = Math.max(0, this.#inFlight - 1);
    this.#recordLoad(outcome.load, nowMs);
    if (outcome.kind === 'cancelled') {
      return;
    }
    this.#samples += 1;
    this.#failureScore += SAMPLE_WEIGHT * (FAILURE_SCORES[outcome.kind] - this.#failureScore);
    this.#observedMs = nowMs;
    if (outcome.kind === 'answered' && outcome.latencyMs !== undefined) {
      const before = this.#latencyMs ?? outcome.latencyMs;
      this.#latencyMs = before + SAMPLE_WEIGHT * (outcome.latencyMs - before);
    }
  }

  /**
   * Records the state of the link. When a link comes back, the VM may have restarted, so slow start begins.
   * @param up - Whether frames can be sent.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordLink(up: boolean, nowMs: number): void {
    if (up && this.#linkDownMs !== undefined) {
      this.#beginSlowStart(nowMs);
    }
    this.#linkDownMs = up ? undefined : nowMs;
  }

  /**
   * Returns whether the VM fails so much more often than the others that it should be ejected. False while it is
   * ejected.
   * @param othersScore - Mean failure score of the other VMs of the service.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isOutlier(othersScore: number, nowMs: number): boolean {
    const isBad = this.#failureScore >= EJECTION_SCORE && this.#samples >= EJECTION_SAMPLES;
    return isBad && this.#failureScore - othersScore >= EJECTION_MARGIN && !this.isEjected(nowMs);
  }

  /** Ejects the VM, for longer than the last time; slow start follows. `nowMs` is monotonic. */
  beginEjection(nowMs: number): void {
    this.#ejections = nowMs - this.#ejectedMs > EJECTION_RESET_MS ? 0 : this.#ejections;
    const durationMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this.#ejections);
    this.#ejections += 1;
    this.#ejectedMs = nowMs;
    this.#ejectedUntilMs = nowMs + durationMs;
    this.#beginSlowStart(this.#ejectedUntilMs);
  }

  /** Returns whether the VM is ejected; `nowMs` is monotonic. */
  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  /** Returns whether the link is up, or has been down long enough to be tried again; `nowMs` is monotonic. */
  isLinkUsable(nowMs: number): boolean {
    return this.#linkDownMs === undefined || nowMs - this.#linkDownMs >= LINK_RETRY_MS;
  }

  /** Computes the fraction of its normal calls that the VM gets, from 0.1 in slow start to 1; `nowMs` is monotonic. */
  computeSlowStartFraction(nowMs: number): number {
    return Math.max(FIRST_FRACTION, Math.min(1, (nowMs - this.#startedMs) / SLOW_START_MS));
  }

  /**
   * Computes the expected latency of a call in milliseconds, with penalties for failures and for the reported queue.
   * @param medianMs - Median latency of the VMs of the service.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  computeLatencyMs(medianMs: number, nowMs: number): number {
    const trust = Math.exp(-(nowMs - this.#observedMs) / OBSERVATION_DECAY_MS);
    const latencyMs = medianMs + trust * ((this.#latencyMs ?? medianMs) - medianMs);
    const penalty = 1 + FAILURE_PENALTY * trust * this.#failureScore ** 2;
    return latencyMs * penalty * (1 + this.#computeQueuePenalty(nowMs));
  }

  /** Returns the statistics for the state dump; `nowMs` is monotonic. */
  snapshot(nowMs: number): object {
    return {
      inFlight: this.#inFlight,
      latencyMs: this.#latencyMs ?? null,
      badness: this.#failureScore,
      part: this.computeSlowStartFraction(nowMs),
      ejectedForMs: this.isEjected(nowMs) ? this.#ejectedUntilMs - nowMs : 0,
      linkDownForMs: this.#linkDownMs === undefined ? null : nowMs - this.#linkDownMs,
    };
  }

  #recordLoad(load: LoadHint | undefined, nowMs: number): void {
    if (load === undefined) {
      return;
    }
    this.#load = load;
    this.#rateLimit = load.rateLimit;
    this.#fullUntilMs =
      load.rateLimit > 0 ? nowMs + (load.queued / load.rateLimit) * SECOND_MS : -Infinity;
  }

  #computeQueuePenalty(nowMs: number): number {
    if (this.#load === undefined) {
      return 0;
    }
    const waiting = this.#load.queued / Math.max(1, this.#load.limit);
    return Math.min(4, waiting) * Math.exp(-(nowMs - this.#observedMs) / LOAD_DECAY_MS);
  }

  #beginSlowStart(nowMs: number): void {
    this.#startedMs = nowMs;
    this.#samples = 0;
    this.#failureScore = 0;
    this.#latencyMs = undefined;
    this.#load = undefined;
  }
}
