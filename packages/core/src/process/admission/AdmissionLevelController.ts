import type { AdmissionItem, QueueAdmissionLevel, WorkspaceFraction } from './AdmissionItem.js';
import { computeFairShares } from './computeFairShares.js';
import type { Demand } from './computeFairShares.js';

/** Time between two changes of the admission level. */
const WINDOW_MS = 100;

/** EWMA weight of one window in the smoothed rates. */
const WINDOW_WEIGHT = 0.5;

/** Callers may send this multiple of the served rate, so that the queue does not run empty. */
const CAPACITY_HEADROOM = 1.15;

/**
 * Fewest refusals in a window, as a number and as a fraction of the arrivals, that count as overload; both must be
 * reached.
 */
const MIN_OVERLOAD_REFUSALS = 2;
const MIN_OVERLOAD_REFUSAL_FRACTION = 0.05;

/** Number of the least important class. */
const LOWEST_CLASS = 3;

/**
 * Smallest fraction of a workspace; if less than this of a class fits, the class is not admitted. A class that is
 * admitted again begins with `FIRST_FRACTION`.
 */
const MIN_FRACTION = 0.02;
const FIRST_FRACTION = 0.05;

/**
 * Factor by which fractions grow in the first window without overload, its increase in each further one, and its
 * largest value. A large first step would bring back the overload that has just ended.
 */
const FIRST_GROWTH = 1.1;
const GROWTH_STEP = 0.1;
const MAX_GROWTH = 2;

/**
 * Smallest factor by which a fraction is reduced in one window. Callers react only after the feedback delay, so a
 * larger reduction would be repeated before the first one takes effect.
 */
const MIN_DECREASE_FACTOR = 0.6;

/** Factor by which the fraction of a workspace within its fair share grows during overload. */
const SHARE_GROWTH = 1.3;

/** Largest number of workspaces listed in a level, so that the message stays small. */
const LEVEL_WORKSPACES = 8;

/** Arrivals and admitted fraction of one workspace. */
interface Rate {
  readonly workspace: string;
  weight: number;
  /** Cost that arrived in the current window, by class. */
  readonly arrived: number[];
  /** Smoothed cost of arrivals in a window, by class. */
  readonly rates: number[];
  /** Admitted fraction in the lowest admitted class. */
  fraction: number;
}

/**
 * Controls the admission level, which tells callers how many of their calls to send. While the queue is overloaded, the
 * admitted fraction of each workspace is multiplied by the ratio of its fair share of the served rate to its arrivals;
 * otherwise all fractions grow.
 */
export class AdmissionLevelController {
  readonly #rates = new Map<string, Rate>();

  #lowestClass = LOWEST_CLASS;

  #fraction = 1;

  #servedCost = 0;

  #servedRate = 0;

  #refusals = 0;

  #arrivals = 0;

  /** Whether the queue was too long at every check of the window; a short burst does not count as overload. */
  #isBacklogged = true;

  #windowsWithoutOverload = 0;

  #windowStartMs: number | undefined;

  /**
   * Records the arrival of a call.
   * @param item - The call.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordArrival(item: AdmissionItem, nowMs: number): void {
    this.#windowStartMs ??= nowMs;
    this.#arrivals += 1;
    const rate = this.#resolveRate(item.workspace);
    rate.weight = item.weight;
    rate.arrived[Math.min(LOWEST_CLASS, item.priority)] += item.cost;
  }

  /**
   * Records an answered call.
   * @param cost - Cost of the route.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordServed(cost: number, nowMs: number): void {
    this.#windowStartMs ??= nowMs;
    this.#servedCost += cost;
  }

  /**
   * Records a refusal caused by overload.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordRefusal(nowMs: number): void {
    this.#windowStartMs ??= nowMs;
    this.#refusals += 1;
  }

  /**
   * Adjusts the level if a window has passed.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param backlogged - Whether the queue is too long now.
   */
  advance(nowMs: number, backlogged: boolean): void {
    this.#isBacklogged &&= backlogged;
    if (this.#windowStartMs === undefined || nowMs - this.#windowStartMs < WINDOW_MS) {
      return;
    }
    this.#closeWindow((nowMs - this.#windowStartMs) / WINDOW_MS);
    const overloadRefusals = Math.max(
      MIN_OVERLOAD_REFUSALS,
      MIN_OVERLOAD_REFUSAL_FRACTION * this.#arrivals,
    );
    if (this.#refusals >= overloadRefusals || this.#isBacklogged) {
      this.#applyOverload();
    } else {
      this.#applyRecovery();
    }
    this.#refusals = 0;
    this.#arrivals = 0;
    this.#isBacklogged = true;
    this.#windowStartMs = nowMs;
  }

  /** Returns the present level. */
  read(): QueueAdmissionLevel {
    const shed = [...this.#rates.values()]
      .filter((rate) => rate.fraction < this.#fraction)
      .sort((left, right) => this.#computeShed(right) - this.#computeShed(left));
    return {
      lowestClass: this.#lowestClass,
      fraction: this.#computeFraction(shed.slice(LEVEL_WORKSPACES)),
      workspaces: shed.slice(0, LEVEL_WORKSPACES).map(toWorkspaceFraction),
    };
  }

  #closeWindow(windows: number): void {
    this.#servedRate += WINDOW_WEIGHT * (this.#servedCost / windows - this.#servedRate);
    this.#servedCost = 0;
    this.#rates.forEach((rate) => {
      rate.arrived.forEach((cost, priority) => {
        const change = cost / windows - rate.rates[priority];
        Object.assign(rate.rates, { [priority]: rate.rates[priority] + WINDOW_WEIGHT * change });
      });
      rate.arrived.fill(0);
    });
    this.#dropIdle();
  }

  #applyOverload(): void {
    this.#windowsWithoutOverload = 0;
    const marginal = this.#findMarginalClass();
    if (marginal < this.#lowestClass) {
      this.#setLowestClass(marginal, 1);
    }
    const left = Math.max(
      0,
      CAPACITY_HEADROOM * this.#servedRate - this.#computeHigherRate(marginal),
    );
    const demands = [...this.#rates.values()].map((rate) => this.#computeDemand(rate));
    const fairShares = computeFairShares(left, demands);
    demands.forEach(({ workspace, demand }, index) => {
      const rate = this.#resolveRate(workspace);
      rate.fraction = clamp(rate.fraction * computeFractionFactor(demand, fairShares[index]));
    });
    this.#fraction = Math.min(1, this.#fraction * SHARE_GROWTH);
    const total = demands.reduce((sum, { demand }) => sum + demand, 0);
    if (this.#lowestClass > 0 && left < MIN_FRACTION * total) {
      this.#setLowestClass(this.#lowestClass - 1, 1);
    }
  }

  #applyRecovery(): void {
    const growth = Math.min(MAX_GROWTH, FIRST_GROWTH + GROWTH_STEP * this.#windowsWithoutOverload);
    this.#windowsWithoutOverload += 1;
    this.#fraction = Math.min(1, this.#fraction * growth);
    this.#rates.forEach((rate) => {
      Object.assign(rate, { fraction: Math.min(1, rate.fraction * growth) });
    });
    const isFull = [...this.#rates.values()].every((rate) => rate.fraction >= 1);
    if (this.#lowestClass < LOWEST_CLASS && isFull && this.#fraction >= 1) {
      this.#setLowestClass(this.#lowestClass + 1, FIRST_FRACTION);
    }
  }

  /**
   * Finds the class whose arrivals, added to those of more important ones, exceed the capacity; at most the lowest
   * admitted class.
   */
  #findMarginalClass(): number {
    const capacity = CAPACITY_HEADROOM * this.#servedRate;
    const classes = Array.from({ length: this.#lowestClass }, (_, priority) => priority);
    const marginal = classes.find((priority) => this.#computeHigherRate(priority + 1) > capacity);
    return marginal ?? this.#lowestClass;
  }

  #computeHigherRate(priority: number): number {
    return [...this.#rates.values()].reduce(
      (sum, rate) => sum + rate.rates.slice(0, priority).reduce((part, cost) => part + cost, 0),
      0,
    );
  }

  #computeDemand(rate: Rate): Demand {
    const { workspace, weight } = rate;
    return { workspace, weight, demand: rate.rates[this.#lowestClass] };
  }

  #computeShed(rate: Rate): number {
    return this.#computeDemand(rate).demand * (1 - rate.fraction);
  }

  /**
   * Computes the fraction of all workspaces that are not listed, including those over their fair share that did not
   * fit.
   */
  #computeFraction(unlisted: readonly Rate[]): number {
    if (unlisted.length === 0) {
      return this.#fraction;
    }
    const sum = unlisted.reduce((total, rate) => total + rate.fraction, 0);
    return Math.min(this.#fraction, sum / unlisted.length);
  }

  #setLowestClass(lowestClass: number, fraction: number): void {
    this.#lowestClass = lowestClass;
    this.#fraction = fraction;
    this.#rates.forEach((rate) => Object.assign(rate, { fraction }));
  }

  #dropIdle(): void {
    this.#rates.forEach((rate) => {
      if (rate.fraction >= 1 && rate.rates.every((cost) => cost < 1e-3)) {
        this.#rates.delete(rate.workspace);
      }
    });
  }

  #resolveRate(workspace: string): Rate {
    const known = this.#rates.get(workspace);
    if (known !== undefined) {
      return known;
    }
    const rate: Rate = {
      workspace,
      weight: 1,
      arrived: [0, 0, 0, 0],
      rates: [0, 0, 0, 0],
      fraction: this.#fraction,
    };
    this.#rates.set(workspace, rate);
    return rate;
  }
}

function toWorkspaceFraction({ workspace, fraction }: Rate): WorkspaceFraction {
  return { workspace, fraction };
}

function computeFractionFactor(demand: number, fairShare: number): number {
  if (demand <= fairShare) {
    return SHARE_GROWTH;
  }
  return Math.max(MIN_DECREASE_FACTOR, fairShare / demand);
}

function clamp(fraction: number): number {
  return Math.max(MIN_FRACTION, Math.min(1, fraction));
}
