import type { WorkTask } from './WorkLane.js';
import type { WorkQueue } from './WorkQueue.js';

interface PendingStart {
  readonly task: WorkTask;
  readonly peer: string | undefined;
}

/**
 * Starts attempts and runs through the work queue, so that cancellations that have not been read yet come before them. A
 * cancelled start has not happened.
 */
export class CancellableStarts {
  readonly #work: WorkQueue;

  readonly #pending = new Map<string, PendingStart>();

  /** @param work - Work queue of the process. */
  constructor(work: WorkQueue) {
    this.#work = work;
  }

  /**
   * Starts an attempt or a run when its turn comes.
   * @param callId - Id for `cancel`.
   * @param task - Starts it.
   * @param peer - VM that it is sent to, for `cancelPeer`.
   */
  start(callId: string, task: WorkTask, peer?: string): void {
    const pending = { task, peer };
    this.#pending.set(callId, pending);
    this.#work.continue((waitedMs) => {
      if (this.#pending.get(callId) === pending) {
        this.#pending.delete(callId);
        task(waitedMs);
      }
    });
  }

  /**
   * Cancels a start.
   * @param callId - Id of the call.
   * @returns False when the call has started or is unknown.
   */
  cancel(callId: string): boolean {
    return this.#pending.delete(callId);
  }

  /**
   * Cancels the starts of all attempts at a VM whose link is lost; the decision engine has given them up.
   * @param peer - Name of the VM.
   */
  cancelPeer(peer: string): void {
    this.#pending.forEach((pending, callId) => {
      if (pending.peer === peer) {
        this.#pending.delete(callId);
      }
    });
  }
}
