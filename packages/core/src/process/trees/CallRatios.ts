/** EWMA weight of the newest run of a route; about the last 50 runs count. */
const SAMPLE_WEIGHT = 0.02;

/** Assumed rate of calls per millisecond of run time, before a call of a route has been seen. */
const UNKNOWN_RATE = 1e-6;

/** Largest number of routes of the backend server, and of called routes for each of them, with a ratio. */
const MAX_ROUTES = 256;

interface RunningRoute {
  /** Requests that run now. */
  running: number;
  /** Runs that have ended. */
  ended: number;
  /** Smoothed run time, in milliseconds; starts at 100. */
  runMs: number;
  /** Smoothed calls in one run, by called route, too low by the weight of runs that have not happened yet. */
  readonly calls: Map<string, number>;
}

/**
 * Estimates how many calls one run of a route makes to each other route. Outgoing calls need not name the request that
 * causes them, so each one is divided among the routes that run at that moment, by the rate at which each is known to
 * make such calls (expectation maximization over a mixture of sources). This distinguishes the routes of one backend
 * server.
 */
export class CallRatios {
  readonly #routes = new Map<string, RunningRoute>();

  /**
   * Records that the backend server has begun to run a request.
   * @param route - Route of the request.
   */
  recordStart(route: string): void {
    const known = this.#resolve(route);
    if (known !== undefined) {
      known.running += 1;
    }
  }

  /**
   * Records the end of a run. Must follow `recordStart` of the same route.
   * @param route - Route of the request.
   * @param runMs - Run time, in milliseconds.
   */
  recordEnd(route: string, runMs: number): void {
    const known = this.#routes.get(route);
    if (known === undefined) {
      return;
    }
    known.running = Math.max(0, known.running - 1);
    known.ended += 1;
    known.runMs += SAMPLE_WEIGHT * (runMs - known.runMs);
    known.calls.forEach((ratio, called) => known.calls.set(called, ratio * (1 - SAMPLE_WEIGHT)));
  }

  /**
   * Records an outgoing call of the backend server. Ignored while nothing runs.
   * @param called - Called route.
   */
  recordCall(called: string): void {
    const running = [...this.#routes.values()].filter((route) => route.running > 0);
    const weights = running.map((route) => computeWeight(route, called));
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    running.forEach((route, index) => {
      const before = route.calls.get(called) ?? 0;
      if (route.calls.has(called) || route.calls.size < MAX_ROUTES) {
        route.calls.set(called, before + (SAMPLE_WEIGHT * weights[index]) / total);
      }
    });
  }

  /**
   * Lists the estimated calls in one run of a route, by called route.
   * @param route - Route of the run.
   */
  list(route: string): ReadonlyMap<string, number> {
    const known = this.#routes.get(route);
    if (known === undefined) {
      return new Map();
    }
    const weight = computeSeenWeight(known);
    return new Map([...known.calls].map(([called, ratio]) => [called, ratio / weight]));
  }

  #resolve(route: string): RunningRoute | undefined {
    const known = this.#routes.get(route);
    if (known !== undefined || this.#routes.size >= MAX_ROUTES) {
      return known;
    }
    const created: RunningRoute = { running: 0, ended: 0, runMs: 100, calls: new Map() };
    this.#routes.set(route, created);
    return created;
  }
}

function computeWeight({ running, runMs, calls }: RunningRoute, called: string): number {
  const rate = (calls.get(called) ?? 0) / Math.max(1, runMs);
  return running * Math.max(UNKNOWN_RATE, rate);
}

/** Computes the weight of the runs seen so far in the smoothed calls; a run that is under way counts half. */
function computeSeenWeight({ ended, running }: RunningRoute): number {
  const runs = Math.max(1, ended + running / 2);
  return 1 - (1 - SAMPLE_WEIGHT) ** runs;
}
