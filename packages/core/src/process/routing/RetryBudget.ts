import * as bounds from '../bounds/index.js';

/** Retries allowed for each recent success. */
const RETRIES_PER_SUCCESS = 0.1;

/** Time constant with which past successes and retries decay. */
const DECAY_MS = 10_000;

/** Retries a millisecond that are allowed without any success: one a second. */
const FLOOR_PER_MS = 1 / 1000;

/** Largest number of retries that the floor can accumulate. */
const FLOOR_BURST = 2;

/** Largest number of edges kept; the least recently used one is evicted first. */
const MAX_EDGES = 4096;

/** Decayed counts of one edge; `floor` is the number of retries left that need no success. */
interface Edge {
  successes: number;
  retries: number;
  floor: number;
  updatedMs: number;
}

/**
 * Retry budget of each edge of the call graph: retries are limited to a tenth of the recent successes, plus one a
 * second.
 */
export class RetryBudget {
  /** Least recently used edge first. */
  readonly #edges = new Map<string, Edge>();

  /**
   * Records an answered call.
   * @param edge - Called service; the caller is this node.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordSuccess(edge: string, nowMs: number): void {
    this.#resolveEdge(edge, nowMs).successes += 1;
  }

  /**
   * Takes one retry from the budget of an edge, if there is one left.
   * @param edge - Called service; the caller is this node.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns True if the retry may be made.
   */
  tryTake(edge: string, nowMs: number): boolean {
    const state = this.#resolveEdge(edge, nowMs);
    if (state.retries + 1 <= RETRIES_PER_SUCCESS * state.successes) {
      state.retries += 1;
      return true;
    }
    if (state.floor >= 1) {
      state.floor -= 1;
      return true;
    }
    return false;
  }

  /** Returns the most recently used edges for the state dump; `nowMs` is monotonic. */
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
    const kept = Math.exp(-elapsedMs / DECAY_MS);
    state.successes *= kept;
    state.retries *= kept;
    state.floor = Math.min(FLOOR_BURST, state.floor + elapsedMs * FLOOR_PER_MS);
    state.updatedMs = nowMs;
    bounds.setWithLimit(this.#edges, edge, state, MAX_EDGES);
    return state;
  }
}
