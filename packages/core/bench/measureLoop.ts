import { ClosedLoop } from './ClosedLoop.js';
import { CAPACITY_PER_S, SLICE_MS } from './LoopSettings.js';
import type { LoopSettings, LoopSlice } from './LoopSettings.js';

/** Figures of one run; the second phase is the surge. */
export interface LoopFigures {
  /** Answers within their time-out during the surge, as a fraction of the capacity. */
  readonly goodput: number;
  /** Lowest goodput of any second of the surge but the first. */
  readonly lowestGoodput: number;
  /** Time from the end of the surge after which every slice serves at least 0.95 of its requests; infinite if never. */
  readonly recoveryMs: number;
  /** Served fraction of the requests of each workspace during the surge. */
  readonly servedByWorkspace: readonly number[];
  /** Served fraction of the requests of each class during the surge. */
  readonly servedByClass: readonly number[];
  /** Attempts that reached the VM during the surge, as a multiple of the capacity. */
  readonly arrivals: number;
}

/** Smallest served fraction of the requests that counts as normal. */
const NORMAL = 0.95;

/**
 * Runs the closed loop and computes its figures.
 * @param settings - Run of three phases, of which the second is the surge.
 */
export function measureLoop(settings: LoopSettings): LoopFigures {
  const slices = new ClosedLoop(settings).run();
  const [before, surge, after] = settings.phases.map((phase) => phase.durationMs);
  const first = before / SLICE_MS;
  const during = slices.slice(first, first + surge / SLICE_MS);
  const later = slices.slice(first + during.length, first + during.length + after / SLICE_MS);
  const capacity = CAPACITY_PER_S / settings.phases[1].slowdown;
  const seconds = collectSeconds(during);
  return {
    goodput: computeGoodput(during, capacity),
    lowestGoodput: Math.min(...seconds.slice(1).map((second) => computeGoodput(second, capacity))),
    recoveryMs: computeRecoveryMs(later),
    servedByWorkspace: computeFractions(during, 'served', 'begun'),
    servedByClass: computeFractions(during, 'servedByClass', 'begunByClass'),
    arrivals: sum(during.map((slice) => slice.arrivals)) / ((capacity * surge) / 1000),
  };
}

function collectSeconds(slices: readonly LoopSlice[]): readonly (readonly LoopSlice[])[] {
  const size = 1000 / SLICE_MS;
  return Array.from({ length: Math.floor(slices.length / size) }, (_, index) =>
    slices.slice(index * size, (index + 1) * size),
  );
}

function computeGoodput(slices: readonly LoopSlice[], capacity: number): number {
  const answers = sum(slices.map((slice) => slice.answers));
  return answers / ((capacity * slices.length * SLICE_MS) / 1000);
}

function computeRecoveryMs(slices: readonly LoopSlice[]): number {
  const isNormal = slices.map((slice) => sum(slice.served) >= NORMAL * sum(slice.begun));
  const last = isNormal.lastIndexOf(false);
  return last === slices.length - 1 ? Infinity : (last + 1) * SLICE_MS;
}

function computeFractions(
  slices: readonly LoopSlice[],
  top: 'served' | 'servedByClass',
  bottom: 'begun' | 'begunByClass',
): readonly number[] {
  return slices[0][top].map((_, index) => {
    const begun = sum(slices.map((slice) => slice[bottom][index]));
    return begun === 0 ? 1 : sum(slices.map((slice) => slice[top][index])) / begun;
  });
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
