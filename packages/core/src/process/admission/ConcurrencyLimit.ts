import type { AdmissionEnd } from './AdmissionItem.js';

/** Time between two changes of the limit. */
const WINDOW_MS = 100;

/** Latency up to this multiple of the floor does not lower the limit. */
const TOLERANCE = 1.5;

/** Part of the declared slots that a cold backend server gets. */
const COLD_FRACTION = 0.125;

/** Adaptive number of requests that run at once on a backend server. */
export class ConcurrencyLimit {
  #slots: number;

  #limit: number;

  #floorMs: number | undefined;

  #latencyMs: number | undefined;

  #windowStartMs = 0;

  #samples = 0;

  #bad = 0;

  #busy = false;

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
    this.#limit = Math.min(this.#limit, this.#slots);
  }

  /** Begins a slow start, after the backend server was restarted. */
  reset(): void {
    this.#limit = this.#computeColdLimit();
    this.#latencyMs = undefined;
  }

  /** Reads the number of requests that may run at once; an integer from 1 to the declared slots. */
  read(): number {
    return Math.max(1, Math.min(this.#slots, Math.floor(this.#limit)));
  }

  /** Reads the recent latency in milliseconds, or undefined before the first answer. */
  readLatencyMs(): number | undefined {
    return this.#latencyMs;
  }

  /**
   * Records the end of a run.
   * @param sample - How it ended, how long it ran, and the load at its end.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  record(
    sample: { end: AdmissionEnd; latencyMs: number; inFlight: number; queued: number },
    nowMs: number,
  ): void {
    if (sample.end === 'cancelled') {
      return;
    }
    this.#samples += 1;
    this.#busy ||= sample.queued > 0 || sample.inFlight >= this.read() - 1;
    if (sample.end === 'answered') {
      this.#recordLatency(sample.latencyMs);
    } else {
      this.#bad += 1;
    }
    if (nowMs - this.#windowStartMs >= WINDOW_MS) {
      this.#closeWindow(nowMs);
    }
  }

  /** Shows the limit for the state dump. */
  snapshot(): object {
    return {
      limit: this.read(),
      slots: this.#slots,
      floorMs: this.#floorMs ?? null,
      latencyMs: this.#latencyMs ?? null,
    };
  }

  #recordLatency(latencyMs: number): void {
    this.#latencyMs =
      this.#latencyMs === undefined
        ? latencyMs
        : this.#latencyMs + 0.1 * (latencyMs - this.#latencyMs);
    this.#floorMs = Math.min(this.#floorMs ?? this.#latencyMs, this.#latencyMs);
  }

  #closeWindow(nowMs: number): void {
    const badFraction = this.#bad / this.#samples;
    if (badFraction > 0.05) {
      this.#limit *= 1 - 0.3 * badFraction;
    } else if (this.#floorMs !== undefined && this.#latencyMs !== undefined) {
      const gradient = Math.max(0.5, Math.min(1, (TOLERANCE * this.#floorMs) / this.#latencyMs));
      const target = this.#limit * gradient + Math.sqrt(this.#limit);
      this.#limit = this.#busy || target < this.#limit ? target : this.#limit;
      this.#floorMs += 0.01 * (this.#latencyMs - this.#floorMs);
    }
    this.#limit = Math.max(1, Math.min(this.#slots, this.#limit));
    this.#windowStartMs = nowMs;
    this.#samples = 0;
    this.#bad = 0;
    this.#busy = false;
  }

  #computeColdLimit(): number {
    return Math.max(1, Math.ceil(this.#slots * COLD_FRACTION));
  }
}
