import { FairQueue } from '../../../src/process/admission/index.js';
import { CallTrees } from '../../../src/process/trees/index.js';
import { EventHeap } from '../../support/EventHeap.js';
import { SeededSource } from '../../support/SeededSource.js';
import { createItem } from '../admission/createItem.js';

/** A simulated load of call trees whose bottleneck is the deepest service, the leaf. */
export interface TreeLoadOptions {
  /** Demand of both routes as a multiple of the capacity of the leaf. */
  readonly demand: number;
  readonly admits: boolean;
  /** Order of the queue of the leaf. */
  readonly order: 'arrival' | 'newest';
  readonly lengthMs: number;
  readonly seed: number;
  /** A different load at the beginning, during which the leaf rejects a fraction of its calls. */
  readonly start?: { readonly untilMs: number; readonly demand: number; readonly rejected: number };
  /** Time before which requests are not counted, in milliseconds; a fifth of the length by default. */
  readonly countFromMs?: number;
}

/** Requests, served requests and refusals, by route. */
export type TreeOutcome = Record<
  'browse' | 'book',
  { requested: number; served: number; refused: number }
>;

/** Call trees of the users' Ferreyra deployment: leaf calls of one request, run time above the leaf, and time-out. */
const ROUTES = {
  browse: { leafCalls: 8, ownMs: 180, timeoutMs: 800, priority: 3, part: 0.75 },
  book: { leafCalls: 4, ownMs: 190, timeoutMs: 1_000, priority: 2, part: 0.25 },
} as const;

const LEAF_SLOTS = 4 * 23;
const LEAF_MS = 30;

/** Time from a rejected call to its refusal, in milliseconds. */
const REJECT_MS = 3;

/** Time-out of a leaf call, in milliseconds. */
const LEAF_TIMEOUT_MS = 700;

/** Delay until the utilization of the leaf reaches the entry node with answers, in milliseconds. */
const REPORT_DELAY_MS = 100;

type RouteName = keyof typeof ROUTES;

interface LeafCall {
  readonly deadlineMs: number;
  readonly done: () => void;
}

/** Simulates an open load of call trees on one queue of leaf calls, on a simulated clock. */
export class TreeLoad {
  readonly #options: TreeLoadOptions;

  readonly #events = new EventHeap();

  readonly #random: SeededSource;

  readonly #trees: CallTrees;

  /** Queue of the leaf's backend server. */
  readonly #queue: FairQueue;

  readonly #calls = new Map<string, LeafCall>();

  #callCount = 0;

  #running = 0;

  #nowMs = 0;

  readonly outcome: TreeOutcome = {
    browse: { requested: 0, served: 0, refused: 0 },
    book: { requested: 0, served: 0, refused: 0 },
  };

  constructor(options: TreeLoadOptions) {
    this.#options = options;
    this.#random = new SeededSource(options.seed);
    this.#queue = new FairQueue(options.order);
    this.#trees = new CallTrees('entry', this.#random);
  }

  /** Runs the whole load. Requests at the beginning are not counted, because the control is still settling. */
  run(): TreeOutcome {
    this.#scheduleArrival();
    this.#scheduleReport();
    this.#events.runDue(2 * this.#options.lengthMs);
    return this.outcome;
  }

  #schedule(delayMs: number, run: () => void): void {
    const atMs = this.#nowMs + delayMs;
    this.#events.schedule(atMs, () => {
      this.#nowMs = atMs;
      run();
    });
  }

  #pickExponential(meanMs: number): number {
    return -Math.log(1 - this.#random.next()) * meanMs;
  }

  #scheduleArrival(): void {
    this.#schedule(this.#pickExponential(1 / this.#computeArrivalsPerMs()), () => {
      if (this.#nowMs < this.#options.lengthMs) {
        this.#handleArrival(this.#random.next() < ROUTES.browse.part ? 'browse' : 'book');
        this.#scheduleArrival();
      }
    });
  }

  #computeArrivalsPerMs(): number {
    const { start, demand } = this.#options;
    const capacity = LEAF_SLOTS / LEAF_MS;
    const calls = Object.values(ROUTES).reduce((sum, one) => sum + one.part * one.leafCalls, 0);
    return ((this.#isStart() ? (start?.demand ?? demand) : demand) * capacity) / calls;
  }

  #isStart(): boolean {
    return this.#nowMs < (this.#options.start?.untilMs ?? 0);
  }

  #isRejected(): boolean {
    return this.#isStart() && this.#random.next() < (this.#options.start?.rejected ?? 0);
  }

  #scheduleReport(): void {
    const utilization = (this.#running + this.#queue.size) / LEAF_SLOTS;
    this.#schedule(REPORT_DELAY_MS, () => {
      (Object.keys(ROUTES) as RouteName[]).forEach((route) =>
        this.#trees.recordAnswer(
          route,
          'entry',
          [{ service: 'leaf', calls: ROUTES[route].leafCalls, utilization }],
          this.#nowMs,
        ),
      );
    });
    this.#schedule(10, () => {
      if (this.#nowMs < this.#options.lengthMs) {
        this.#scheduleReport();
      }
    });
  }

  #handleArrival(name: RouteName): void {
    const route = ROUTES[name];
    const counts = this.outcome[name];
    const isCounted = this.#nowMs > (this.#options.countFromMs ?? this.#options.lengthMs / 5);
    counts.requested += Number(isCounted);
    const decision = this.#trees.admission.decide(name, route.priority, this.#nowMs);
    if (this.#options.admits && !decision.admitted) {
      counts.refused += Number(isCounted);
      return;
    }
    const deadlineMs = this.#nowMs + route.timeoutMs;
    this.#schedule(this.#pickExponential(route.ownMs / 2) + route.ownMs / 2, () =>
      this.#callLeaf(route.leafCalls, deadlineMs, () => {
        counts.served += Number(isCounted);
      }),
    );
  }

  /** Makes the leaf calls of a tree one after another. The tree fails with the first call that fails. */
  #callLeaf(left: number, deadlineMs: number, serve: () => void): void {
    if (this.#nowMs >= deadlineMs) {
      return;
    }
    if (left === 0) {
      serve();
      return;
    }
    if (this.#isRejected()) {
      this.#schedule(REJECT_MS, () =>
        this.#trees.recordRefusal('leaf', undefined, true, this.#nowMs),
      );
      return;
    }
    this.#callCount += 1;
    const callId = String(this.#callCount);
    this.#calls.set(callId, {
      deadlineMs: Math.min(deadlineMs, this.#nowMs + LEAF_TIMEOUT_MS),
      done: () => this.#callLeaf(left - 1, deadlineMs, serve),
    });
    this.#queue.add(createItem(callId, { arrivedMs: this.#nowMs }));
    this.#runLeaf();
  }

  #runLeaf(): void {
    while (this.#running < LEAF_SLOTS && this.#queue.size > 0) {
      const callId = this.#queue.take(this.#nowMs)?.callId ?? '';
      const call = this.#calls.get(callId);
      this.#calls.delete(callId);
      if (call !== undefined && call.deadlineMs > this.#nowMs) {
        this.#running += 1;
        this.#schedule(this.#pickExponential(LEAF_MS), () => {
          this.#running -= 1;
          this.#trees.recordAnswer('leaf', 'leaf', [], this.#nowMs);
          call.done();
          this.#runLeaf();
        });
      }
    }
  }
}
