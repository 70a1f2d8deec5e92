import type { RunSample, SlotLimit } from './SlotLimit.js';

/** The limit changes after `WINDOW_MS` with at least `WINDOW_SAMPLES` ended runs, otherwise after `MAX_WINDOW_MS`. */
const WINDOW_MS = 100;
const WINDOW_SAMPLES = 10;
const MAX_WINDOW_MS = 1000;

/** Smallest factor by which a rise in latency lowers the limit in one window. */
const MIN_GRADIENT = 0.7;

/** Up to this fraction of a window, failed and shed runs are errors of single calls and not a sign of overload. */
const TOLERATED_ERROR_FRACTION = 0.05;

/** Smallest recorded latency. A coarse clock can measure 0, which would make the gradient undefined. */
const MIN_LATENCY_MS = 0.01;

/** EWMA weight of one answer in the latency. With a greater weight, noise pulls the floor below the mean. */
const SAMPLE_WEIGHT = 0.03;

/** A latency up to this multiple of the floor does not lower the limit. */
const TOLERANCE = 2;

/**
 * Fraction of the distance to the latency by which the floor rises in each window, so that an old minimum is forgotten.
 */
const FLOOR_DRIFT = 0.01;

/** Fraction of the declared slots at which slow start begins. */
const COLD_FRACTION = 0.125;

/** Limit and latency before a reduction, kept until its effect on the latency can be measured. */
interface LimitReduction {
  readonly limit: number;
  readonly latencyMs: number;
  readonly untilMs: number;
}

/**
 * Adaptive concurrency limit of one backend server. The latency is compared with its floor, the lowest recent smoothed
 * latency: the limit grows while the latency is within tolerance of the floor, and is reduced when the latency is
 * higher or too many runs fail. It never exceeds the declared slots.
 */
export class ConcurrencyLimit implements SlotLimit {
  #slots: number;

  #limit: number;

  #floorMs: number | undefined;

  #latencyMs: number | undefined;

  #windowStartMs = 0;

  #samples = 0;

  #errors = 0;

  /** Whether the limit was reached, or almost reached, in the window; it grows only then. */
  #isLimitReached = false;

  #isSlowStart = true;

  #reduction: LimitReduction | undefined;

  /** @param options - `slots`: requests that the backend server is declared to run at once. */
  constructor(options: { slots: number }) {
    this.#slots = Math.max(1, options.slots);
    this.#limit = this.#computeColdLimit();
  }

  /**
   * Changes the declared slots.
   * @param slots - Requests that the backend server is declared to run at once.
   */
  configure(slots: number): void {
    this.#slots = Math.max(1, slots);
    const isUntried = this.#latencyMs === undefined && this.#errors === 0;
    this.#limit = isUntried ? this.#computeColdLimit() : Math.min(this.#limit, this.#slots);
  }

  /** Begins slow start, after the backend server has been down. */
  reset(): void {
    this.#limit = this.#computeColdLimit();
    this.#latencyMs = undefined;
    this.#isSlowStart = true;
    this.#reduction = undefined;
  }

  /** Returns the number of requests that may run at once, an integer from 1 to the declared slots. */
  read(): number {
    return Math.max(1, Math.min(this.#slots, Math.floor(this.#limit)));
  }

  /** Returns the smoothed latency in milliseconds, or undefined before the first answer. */
  readLatencyMs(): number | undefined {
    return this.#latencyMs;
  }

  /**
   * Records the end of a run and adjusts the limit when a window is over. Cancelled runs are ignored.
   * @param sample - How the run ended, how long it took, and the load at its end.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  record(sample: RunSample, nowMs: number): void {
    if (sample.outcome === 'cancelled') {
      return;
    }
    this.#samples += 1;
    this.#isLimitReached ||= sample.queued > 0 || sample.inFlight >= this.read() - 1;
    if (sample.outcome === 'answered') {
      this.#recordLatency(sample.latencyMs);
    } else {
      this.#errors += 1;
    }
    const windowMs = this.#samples < WINDOW_SAMPLES ? MAX_WINDOW_MS : WINDOW_MS;
    if (nowMs - this.#windowStartMs >= windowMs) {
      this.#closeWindow(nowMs);
    }
  }

  /** Returns the state of the limit for the state dump. */
  snapshot(): object {
    return {
      limit: this.read(),
      slots: this.#slots,
      floorMs: this.#floorMs ?? null,
      latencyMs: this.#latencyMs ?? null,
    };
  }

  #recordLatency(sampleMs: number): void {
    const latencyMs = Math.max(MIN_LATENCY_MS, sampleMs);
    this.#latencyMs =
      this.#latencyMs === undefined
        ? latencyMs
        : this.#latencyMs + SAMPLE_WEIGHT * (latencyMs - this.#latencyMs);
    this.#floorMs = Math.min(this.#floorMs ?? this.#latencyMs, this.#latencyMs);
  }

  #closeWindow(nowMs: number): void {
    const errorFraction = this.#errors / this.#samples;
    if (errorFraction > TOLERATED_ERROR_FRACTION) {
      this.#isSlowStart = false;
      this.#limit *= 1 - 0.3 * errorFraction;
    } else if (this.#floorMs !== undefined && this.#latencyMs !== undefined) {
      this.#applyLatency(this.#floorMs, this.#latencyMs, nowMs);
    }
    this.#limit = Math.max(1, Math.min(this.#slots, this.#limit));
    this.#windowStartMs = nowMs;
    this.#samples = 0;
    this.#errors = 0;
    this.#isLimitReached = false;
  }

  #applyLatency(floorMs: number, latencyMs: number, nowMs: number): void {
    this.#floorMs = floorMs + FLOOR_DRIFT * (latencyMs - floorMs);
    const gradient = (TOLERANCE * floorMs) / latencyMs;
    if (gradient >= 1) {
      this.#reduction = undefined;
      this.#applyGrowth();
      return;
    }
    this.#isSlowStart = false;
    if (this.#reduction === undefined) {
      this.#reduction = { limit: this.#limit, latencyMs, untilMs: nowMs + 2 * latencyMs };
      this.#limit *= Math.max(MIN_GRADIENT, gradient);
    } else if (nowMs >= this.#reduction.untilMs) {
      this.#checkReduction(this.#reduction, latencyMs);
    }
  }

  /**
   * Checks whether a reduction of the limit lowered the latency. If not, the backend server itself has become slower:
   * the latency becomes the new floor and the reduction is undone.
   */
  #checkReduction(reduction: LimitReduction, latencyMs: number): void {
    const expectedMs = reduction.latencyMs * (1 - 0.5 * (1 - this.#limit / reduction.limit));
    if (latencyMs > expectedMs) {
      this.#floorMs = latencyMs;
      this.#limit = reduction.limit;
    }
    this.#reduction = undefined;
  }

  #applyGrowth(): void {
    if (this.#isLimitReached) {
      this.#limit += this.#isSlowStart ? this.#limit : Math.sqrt(this.#limit);
    }
  }

  #computeColdLimit(): number {
    return Math.max(1, Math.ceil(this.#slots * COLD_FRACTION));
  }
}
