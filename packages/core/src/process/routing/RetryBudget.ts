import * as bounds from '../bounds/index.js';

/** Retries allowed for one success. */
const RATIO = 0.1;

/** Successes older than this do not count. */
const WINDOW_MS = 10_000;

/** Retries a second that are allowed without any success. */
const FLOOR_PER_MS = 1 / 1000;

/** Retries that the floor may save up. */
const FLOOR_BURST = 2;

/** Edges that are remembered; the least recently used one is forgotten first. */
const EDGES = 4096;

interface Edge {
  successes: number;
  retries: number;
  floor: number;
  updatedMs: number;
}

/** Limits the retries of every edge to a tenth of its recent successes plus a small floor. */
export class RetryBudget {
  /** In the order of use, least recent first. */
  readonly #edges = new Map<string, Edge>();

  /**
   * Records a call that was answered.
   * @param edge - Caller and called service.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordSuccess(edge: string, nowMs: number): void {
    this.#resolveEdge(edge, nowMs).successes += 1;
  }

  /**
   * Takes one retry if there is room for it.
   * @param edge - Caller and called service.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns True if the retry may be made.
   */
  tryTake(edge: string, nowMs: number): boolean {
    const state = this.#resolveEdge(edge, nowMs);
    if (state.retries + 1 <= RATIO * state.successes) {
      state.retries += 1;
      return true;
    }
    if (state.floor >= 1) {
      state.floor -= 1;
      return true;
    }
    return false;
  }

  /** Shows the most recently used edges for the state dump. */
  snapshot(nowMs: number): object {
    return {
      edges: this.#edges.size,
      recent: [...this.#edges].slice(-64).map(([edge, { successes, retries, updatedMs }]) => ({
        edge,
        successes,
        retries,
        ageMs: nowMs - updatedMs,
      })),
    };
  }

  #resolveEdge(edge: string, nowMs: number): Edge {
    const known = this.#edges.get(edge);
    const state = known ?? { successes: 0, retries: 0, floor: FLOOR_BURST, updatedMs: nowMs };
    const elapsedMs = Math.max(0, nowMs - state.updatedMs);
    const kept = Math.exp(-elapsedMs / WINDOW_MS);
    state.successes *= kept;
    state.retries *= kept;
    state.floor = Math.min(FLOOR_BURST, state.floor + elapsedMs * FLOOR_PER_MS);
    state.updatedMs = nowMs;
    bounds.setNewest(this.#edges, edge, state, EDGES);
    return state;
  }
}
