import { ClosedLoop } from './ClosedLoop.js';
import { CAPACITY_PER_S, SLICE_MS } from './LoopSettings.js';
import type { LoopSettings, LoopSlice } from './LoopSettings.js';

/** Figures of one run; the second phase is the surge. */
export interface LoopFigures {
  /** Answers in time during the surge, as a part of the capacity. */
  readonly goodput: number;
  /** Lowest goodput of a second of the surge after its first second. */
  readonly lowestGoodput: number;
  /** Time from the end of the surge until 0.95 of the requests are served for good; infinite if never. */
  readonly recoveryMs: number;
  /** Served part of the requests of each workspace during the surge. */
  readonly servedByWorkspace: readonly number[];
  /** Served part of the requests of each class during the surge. */
  readonly servedByClass: readonly number[];
  /** Attempts that reached the VM during the surge, as a multiple of the capacity. */
  readonly arrivals: number;
}

/** Served part of the requests from which service counts as normal. */
const NORMAL = 0.95;

/**
 * Runs the closed loop and computes its figures.
 * @param settings - What is run; three phases, with the surge in the middle.
 */
export function measureLoop(settings: LoopSettings): LoopFigures {
  const slices = new ClosedLoop(settings).run();
  const [before, surge, after] = settings.phases.map((phase) => phase.durationMs);
  const first = before / SLICE_MS;
  const during = slices.slice(first, first + surge / SLICE_MS);
  const later = slices.slice(first + during.length, first + during.length + after / SLICE_MS);
  const capacity = CAPACITY_PER_S / settings.phases[1].slowdown;
  const seconds = groupSeconds(during);
  return {
    goodput: computeGoodput(during, capacity),
    lowestGoodput: Math.min(...seconds.slice(1).map((second) => computeGoodput(second, capacity))),
    recoveryMs: computeRecoveryMs(later),
    servedByWorkspace: divideSums(during, 'served', 'begun'),
    servedByClass: divideSums(during, 'servedByClass', 'begunByClass'),
    arrivals: sum(during.map((slice) => slice.arrivals)) / ((capacity * surge) / 1000),
  };
}

function groupSeconds(slices: readonly LoopSlice[]): readonly (readonly LoopSlice[])[] {
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

function divideSums(
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
