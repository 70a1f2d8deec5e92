import type { AdmissionItem, QueueAdmissionLevel, WorkspaceFraction } from './AdmissionItem.js';
import { computeFairShares } from './computeFairShares.js';
import type { Demand } from './computeFairShares.js';

/** Time between two changes of the level. */
const WINDOW_MS = 100;

/** Weight of a window in the smoothed rates. */
const WINDOW_WEIGHT = 0.5;

/** Callers may send this multiple of the capacity, so that the queue never runs dry. */
const HEADROOM = 1.15;

/** Refusals below this number or part of the arrivals of a window are no overload. */
const FEW_REFUSALS = 2;
const FEW_REFUSALS_PART = 0.05;

/** Lowest class number. */
const LOWEST_CLASS = 3;

/** Fraction below which a class counts as not admitted, and with which a class is admitted again. */
const SMALLEST_FRACTION = 0.02;
const FIRST_FRACTION = 0.05;

/**
 * Growth of the fractions in the first window without overload, and how much it rises with each further one. A fast
 * first step would bring back the overload that was just ended.
 */
const FIRST_GROWTH = 1.1;
const GROWTH_STEP = 0.1;
const LARGEST_GROWTH = 2;

/**
 * Smallest factor of a fraction in one window of overload. Callers follow only after the feedback delay, so that
 * larger steps would be taken twice.
 */
const SMALLEST_CHANGE = 0.6;

/** Growth, during overload, of the fraction of a workspace inside its share. */
const SHARE_GROWTH = 1.3;

/** Workspaces on a level, so that the message stays small. */
const LEVEL_WORKSPACES = 8;

interface Rate {
  readonly workspace: string;
  weight: number;
  /** Cost that arrived in the window, by class. */
  readonly arrived: number[];
  /** Smoothed cost a window, by class. */
  readonly rates: number[];
  /** Admitted fraction in the lowest admitted class. */
  fraction: number;
}

/**
 * Estimates which part of their calls the callers should still send. In overload, the fraction of each workspace is
 * changed by the ratio of its fair part of the served rate to what arrives from it.
 */
export class AdmissionLevelController {
  readonly #rates = new Map<string, Rate>();

  #lowestClass = LOWEST_CLASS;

  #fraction = 1;

  #servedCost = 0;

  #servedRate = 0;

  #refusals = 0;

  #arrivals = 0;

  /** The queue was long all the time since the window began; a short burst is no overload. */
  #isCrowded = true;

  #quietWindows = 0;

  #windowStartMs: number | undefined;

  /**
   * Records a call that arrived.
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
   * Records a call that was answered.
   * @param cost - Cost of its route.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordServed(cost: number, nowMs: number): void {
    this.#windowStartMs ??= nowMs;
    this.#servedCost += cost;
  }

  /**
   * Records a refusal that was caused by overload.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordRefusal(nowMs: number): void {
    this.#windowStartMs ??= nowMs;
    this.#refusals += 1;
  }

  /**
   * Changes the level if a window has passed.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param crowded - Whether the queue is long now.
   */
  advance(nowMs: number, crowded: boolean): void {
    this.#isCrowded &&= crowded;
    if (this.#windowStartMs === undefined || nowMs - this.#windowStartMs < WINDOW_MS) {
      return;
    }
    this.#closeWindow((nowMs - this.#windowStartMs) / WINDOW_MS);
    const few = Math.max(FEW_REFUSALS, FEW_REFUSALS_PART * this.#arrivals);
    if (this.#refusals >= few || this.#isCrowded) {
      this.#lower();
    } else {
      this.#raise();
    }
    this.#refusals = 0;
    this.#arrivals = 0;
    this.#isCrowded = true;
    this.#windowStartMs = nowMs;
  }

  /** Reads the level. */
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

  #lower(): void {
    this.#quietWindows = 0;
    const marginal = this.#findMarginalClass();
    if (marginal < this.#lowestClass) {
      this.#setLowestClass(marginal, 1);
    }
    const left = Math.max(0, HEADROOM * this.#servedRate - this.#computeHigherRate(marginal));
    const demands = [...this.#rates.values()].map((rate) => this.#computeDemand(rate));
    const parts = computeFairShares(left, demands);
    demands.forEach(({ workspace, demand }, index) => {
      const rate = this.#resolveRate(workspace);
      rate.fraction = clamp(rate.fraction * computeChange(demand, parts[index]));
    });
    this.#fraction = Math.min(1, this.#fraction * SHARE_GROWTH);
    const total = demands.reduce((sum, { demand }) => sum + demand, 0);
    if (this.#lowestClass > 0 && left < SMALLEST_FRACTION * total) {
      this.#setLowestClass(this.#lowestClass - 1, 1);
    }
  }

  #raise(): void {
    const growth = Math.min(LARGEST_GROWTH, FIRST_GROWTH + GROWTH_STEP * this.#quietWindows);
    this.#quietWindows += 1;
    this.#fraction = Math.min(1, this.#fraction * growth);
    this.#rates.forEach((rate) => {
      Object.assign(rate, { fraction: Math.min(1, rate.fraction * growth) });
    });
    const isFull = [...this.#rates.values()].every((rate) => rate.fraction >= 1);
    if (this.#lowestClass < LOWEST_CLASS && isFull && this.#fraction >= 1) {
      this.#setLowestClass(this.#lowestClass + 1, FIRST_FRACTION);
    }
  }

  /** Finds the class in which the capacity is used up, at most the lowest admitted class. */
  #findMarginalClass(): number {
    const capacity = HEADROOM * this.#servedRate;
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

  /** The workspaces that do not fit on the level share one fraction with those inside their share. */
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

function computeChange(demand: number, part: number): number {
  if (demand <= part) {
    return SHARE_GROWTH;
  }
  return Math.max(SMALLEST_CHANGE, part / demand);
}

function clamp(fraction: number): number {
  return Math.max(SMALLEST_FRACTION, Math.min(1, fraction));
}
