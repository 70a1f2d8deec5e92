/** Part of a route's observations that the newest one replaces: about the last 50 runs count. */
const SAMPLE_WEIGHT = 0.02;

/** Calls per millisecond of run time that are assumed of a route before anything is known. */
const UNKNOWN_RATE = 1e-6;

/** Routes of one backend server, and routes that it calls, of which ratios are kept. */
const ROUTES = 256;

interface RunningRoute {
  running: number;
  /** Smoothed run time, in milliseconds. */
  runMs: number;
  /** Calls per run by called route. */
  readonly calls: Map<string, number>;
}

/**
 * Learns how many calls one run of a route makes to each other route. An outgoing call that names no parent is divided
 * among the routes that run at that moment, by the rate at which each is known to make such calls (expectation
 * maximization over a mixture of sources), so that routes of one backend server are told apart.
 */
export class CallRatios {
  readonly #routes = new Map<string, RunningRoute>();

  /**
   * Records that the backend server begins to run a request.
   * @param route - Route of the request.
   */
  recordStart(route: string): void {
    const known = this.#resolve(route);
    if (known !== undefined) {
      known.running += 1;
    }
  }

  /**
   * Records that a run has ended.
   * @param route - Route of the request.
   * @param runMs - How long it ran, in milliseconds.
   */
  recordEnd(route: string, runMs: number): void {
    const known = this.#routes.get(route);
    if (known === undefined) {
      return;
    }
    known.running = Math.max(0, known.running - 1);
    known.runMs += SAMPLE_WEIGHT * (runMs - known.runMs);
    known.calls.forEach((ratio, called) => known.calls.set(called, ratio * (1 - SAMPLE_WEIGHT)));
  }

  /**
   * Records an outgoing call of the backend server.
   * @param called - Route that is called.
   */
  recordCall(called: string): void {
    const running = [...this.#routes.values()].filter((route) => route.running > 0);
    const weights = running.map((route) => computeWeight(route, called));
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    running.forEach((route, index) => {
      const before = route.calls.get(called) ?? 0;
      if (route.calls.has(called) || route.calls.size < ROUTES) {
        route.calls.set(called, before + (SAMPLE_WEIGHT * weights[index]) / total);
      }
    });
  }

  /**
   * Lists how many calls one run of a route makes.
   * @param route - Route that runs.
   */
  list(route: string): ReadonlyMap<string, number> {
    return this.#routes.get(route)?.calls ?? new Map<string, number>();
  }

  #resolve(route: string): RunningRoute | undefined {
    const known = this.#routes.get(route);
    if (known !== undefined || this.#routes.size >= ROUTES) {
      return known;
    }
    const created: RunningRoute = { running: 0, runMs: 100, calls: new Map() };
    this.#routes.set(route, created);
    return created;
  }
}

function computeWeight({ running, runMs, calls }: RunningRoute, called: string): number {
  const rate = (calls.get(called) ?? 0) / Math.max(1, runMs);
  return running * Math.max(UNKNOWN_RATE, rate);
}
