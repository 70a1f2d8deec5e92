import type { TestRate } from '../../test/process/shares/createBundle.js';
import { ReferenceBucket, WAIT_MS } from './ReferenceBucket.js';

/** Baseline rate limiter: each VM grants a fixed share, 1 / `maxVms`, of every rate and burst. */
export class StaticShareLimiter {
  readonly #buckets = new Map<string, ReferenceBucket>();

  readonly #maxVms: number;

  constructor(maxVms: number) {
    this.#maxVms = maxVms;
  }

  decide(vm: string, { name, rate, burst }: TestRate, nowMs: number): boolean {
    const key = `${vm}/${name}`;
    const bucket =
      this.#buckets.get(key) ?? new ReferenceBucket(rate / this.#maxVms, burst / this.#maxVms);
    this.#buckets.set(key, bucket);
    return bucket.tryConsume(nowMs, WAIT_MS);
  }
}
