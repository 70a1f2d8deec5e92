import type { AdmissionDecision, AdmissionQueue } from '../admission/index.js';
import type { BackendNotice } from './NodeMessage.js';
import type { Outbox } from './Outbox.js';

/** Applies what the backend server announces in its answers. */
export class BackendNotices {
  readonly #admission: AdmissionQueue;

  readonly #outbox: Outbox;

  /** Time of the newest head whose notice was applied, in monotonic milliseconds. */
  #headMs = -Infinity;

  #rateLimit: number | undefined;

  #hasWarned = false;

  /**
   * @param admission - Admission queue of the backend server.
   * @param outbox - Outbox for log lines.
   */
  constructor(admission: AdmissionQueue, outbox: Outbox) {
    this.#admission = admission;
    this.#outbox = outbox;
  }

  /**
   * Applies the notice of one answer. An answer whose head is older than the newest one has no effect, because a large
   * body may arrive after the whole answer to a later request.
   * @param notice - What the answer announced.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Decisions of the admission queue, which the caller must carry out.
   */
  receive(notice: BackendNotice, nowMs: number): readonly AdmissionDecision[] {
    if (notice.isRateLimitMalformed) {
      this.#warnOnce();
      return [];
    }
    if (notice.headMs < this.#headMs) {
      return [];
    }
    this.#headMs = notice.headMs;
    this.#logChange(notice.rateLimit);
    return this.#admission.setRateLimit(notice.rateLimit, nowMs);
  }

  #logChange(rateLimit: number | undefined): void {
    const isChange = (rateLimit === undefined) !== (this.#rateLimit === undefined);
    this.#rateLimit = rateLimit;
    if (isChange) {
      this.#outbox.add({
        kind: 'log',
        level: 'info',
        part: 'backend',
        text: 'rate limit of the backend server has changed',
        fields: { perSecond: rateLimit ?? 'none' },
      });
    }
  }

  #warnOnce(): void {
    if (this.#hasWarned) {
      return;
    }
    this.#hasWarned = true;
    this.#outbox.add({
      kind: 'log',
      level: 'warn',
      part: 'backend',
      text: 'rate limit of the backend server cannot be read and has no effect',
      fields: {},
    });
  }
}
