import type { LoadHint, RoutingOutcome } from './RoutingOutcome.js';

/** Weight of a new sample in the observed latency and in the part of bad outcomes. */
const SAMPLE_WEIGHT = 0.2;

/** An observation fades towards what is seen of the other VMs, so that a VM that was slow is tried again. */
const OBSERVATION_LIFE_MS = 10_000;

/** The load on an answer is old after this time. */
const LOAD_LIFE_MS = 2000;

/** How bad each outcome counts. A refusal did not run and may only mean load. */
const BADNESS = { answered: 0, refused: 0.7, failed: 1 } as const;

/** A VM whose outcomes are all bad scores as if it were this much slower. */
const BADNESS_PENALTY = 20;

/** A VM that is newly seen, restarted or back from an ejection gets its full part after this time. */
const SLOW_START_MS = 10_000;

/** Part of its calls that a VM gets at the beginning of slow start. */
const FIRST_PART = 0.1;

/** Badness and outcomes from which a VM may be ejected, and how much worse than the others it must be. */
const EJECTION_BADNESS = 0.5;
const EJECTION_SAMPLES = 8;
const EJECTION_DISTANCE = 0.3;

/** The first ejection; each further one is twice as long. */
const EJECTION_MS = 5000;
const LONGEST_EJECTION_MS = 160_000;

/** After this time without an ejection, the next one is short again. */
const FORGIVEN_MS = 300_000;

/** A VM whose link is down becomes a candidate again after this time, so that the link is tried. */
const LINK_DOWN_MS = 1000;

/** What one node has seen of one VM. */
export class VmStatistics {
  #inFlight = 0;

  #latencyMs: number | undefined;

  #badness = 0;

  #samples = 0;

  #load: LoadHint | undefined;

  #observedMs: number;

  #startedMs: number;

  #ejections = 0;

  #ejectedMs = -Infinity;

  #ejectedUntilMs = -Infinity;

  #linkDownMs: number | undefined;

  #usedMs: number;

  /** @param nowMs - Time at which the VM was first seen, in monotonic milliseconds. */
  constructor(nowMs: number) {
    this.#observedMs = nowMs;
    this.#startedMs = nowMs;
    this.#usedMs = nowMs;
  }

  /** Calls that this node sent and whose end is not known. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Time of the last call, in monotonic milliseconds. */
  get lastUsedMs(): number {
    return this.#usedMs;
  }

  /** Latency of answers in milliseconds, or undefined before the first one. */
  get latencyMs(): number | undefined {
    return this.#latencyMs;
  }

  /** Mean badness of the recent outcomes, from 0 to 1. */
  get failureScore(): number {
    return this.#badness;
  }

  /** Records a call; `nowMs` is monotonic. */
  recordSent(nowMs: number): void {
    this.#inFlight += 1;
    this.#usedMs = nowMs;
  }

  /**
   * Records the end of a call.
   * @param outcome - How it ended.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordOutcome(outcome: RoutingOutcome, nowMs: number): void {
    this.#inFlight = Math.max(0, this.#inFlight - 1);
    this.#load = outcome.load ?? this.#load;
    if (outcome.kind === 'cancelled') {
      return;
    }
    this.#samples += 1;
    this.#badness += SAMPLE_WEIGHT * (BADNESS[outcome.kind] - this.#badness);
    this.#observedMs = nowMs;
    if (outcome.kind === 'answered' && outcome.latencyMs !== undefined) {
      const before = this.#latencyMs ?? outcome.latencyMs;
      this.#latencyMs = before + SAMPLE_WEIGHT * (outcome.latencyMs - before);
    }
  }

  /**
   * Records the state of the link. A link that comes back may belong to a restarted VM, so that slow start begins.
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
   * Ejects the VM if it is an outlier.
   * @param othersBadness - Mean badness of the other VMs of the service.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns True if it is ejected now.
   */
  isOutlier(othersBadness: number, nowMs: number): boolean {
    const isBad = this.#badness >= EJECTION_BADNESS && this.#samples >= EJECTION_SAMPLES;
    return isBad && this.#badness - othersBadness >= EJECTION_DISTANCE && !this.isEjected(nowMs);
  }

  /** Begins an ejection, longer than the last one; `nowMs` is monotonic. */
  beginEjection(nowMs: number): void {
    this.#ejections = nowMs - this.#ejectedMs > FORGIVEN_MS ? 0 : this.#ejections;
    const durationMs = Math.min(LONGEST_EJECTION_MS, EJECTION_MS * 2 ** this.#ejections);
    this.#ejections += 1;
    this.#ejectedMs = nowMs;
    this.#ejectedUntilMs = nowMs + durationMs;
    this.#beginSlowStart(this.#ejectedUntilMs);
  }

  /** Tells whether the VM is ejected; `nowMs` is monotonic. */
  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  /** Tells whether calls can be sent, or the link should be tried again; `nowMs` is monotonic. */
  isLinkUsable(nowMs: number): boolean {
    return this.#linkDownMs === undefined || nowMs - this.#linkDownMs >= LINK_DOWN_MS;
  }

  /** Computes the part of its calls that the VM gets in slow start, from 0.1 to 1; `nowMs` is monotonic. */
  computeSlowStartFraction(nowMs: number): number {
    return Math.max(FIRST_PART, Math.min(1, (nowMs - this.#startedMs) / SLOW_START_MS));
  }

  /**
   * Computes the latency that a call is likely to have, with a penalty for bad outcomes and reported load.
   * @param usualMs - Latency of the other VMs of the service.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  computeLatencyMs(usualMs: number, nowMs: number): number {
    const trust = Math.exp(-(nowMs - this.#observedMs) / OBSERVATION_LIFE_MS);
    const latencyMs = usualMs + trust * ((this.#latencyMs ?? usualMs) - usualMs);
    const penalty = 1 + BADNESS_PENALTY * trust * this.#badness ** 2;
    return latencyMs * penalty * (1 + this.#computeWaiting(nowMs));
  }

  /** Shows the statistics for the state dump; `nowMs` is monotonic. */
  snapshot(nowMs: number): object {
    return {
      inFlight: this.#inFlight,
      latencyMs: this.#latencyMs ?? null,
      badness: this.#badness,
      part: this.computeSlowStartFraction(nowMs),
      ejectedForMs: this.isEjected(nowMs) ? this.#ejectedUntilMs - nowMs : 0,
      linkDownForMs: this.#linkDownMs === undefined ? null : nowMs - this.#linkDownMs,
    };
  }

  #computeWaiting(nowMs: number): number {
    if (this.#load === undefined) {
      return 0;
    }
    const waiting = this.#load.queued / Math.max(1, this.#load.limit);
    return Math.min(4, waiting) * Math.exp(-(nowMs - this.#observedMs) / LOAD_LIFE_MS);
  }

  #beginSlowStart(nowMs: number): void {
    this.#startedMs = nowMs;
    this.#samples = 0;
    this.#badness = 0;
    this.#latencyMs = undefined;
    this.#load = undefined;
  }
}
