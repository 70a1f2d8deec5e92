import type { LoopPhase, LoopSettings } from './LoopSettings.js';

const WORKSPACES = 8;

/** Load before and after the surge, as a fraction of the capacity. */
const NORMAL_LOAD = 0.7;

const CLASS_MIX = [0.15, 0.25, 0.4, 0.2];
const ONE_CLASS = [0, 0, 1, 0];

type Surge = Pick<LoopSettings, 'classes'> & {
  readonly description: string;
  readonly rates: readonly number[];
  readonly slowdown: number;
};

/** Surges in the middle of a run. */
export const SURGES = {
  none: {
    description: 'no surge, 0.7 of the capacity all the time',
    classes: CLASS_MIX,
    rates: createRates(NORMAL_LOAD),
    slowdown: 1,
  },
  triple: {
    description: 'every workspace sends 3 times the capacity in all',
    classes: CLASS_MIX,
    rates: createRates(3),
    slowdown: 1,
  },
  loud: {
    description: 'one workspace sends 8 times its rate, one class',
    classes: ONE_CLASS,
    rates: createRates(NORMAL_LOAD).map((rate, index) => (index === 0 ? 8 * rate : rate)),
    slowdown: 1,
  },
  loudMixed: {
    description: 'one workspace sends 8 times its rate, all classes',
    classes: CLASS_MIX,
    rates: createRates(NORMAL_LOAD).map((rate, index) => (index === 0 ? 8 * rate : rate)),
    slowdown: 1,
  },
  slow: {
    description: 'the service is 5 times slower',
    classes: CLASS_MIX,
    rates: createRates(NORMAL_LOAD),
    slowdown: 5,
  },
} as const satisfies Record<string, Surge>;

/**
 * Creates the settings of a run.
 * @param name - Entry of `SURGES`.
 * @param options - Seed, whether admission control is on, and longest one-way delay.
 * @param durationsMs - Length of the phases before, during and after the surge, in milliseconds.
 */
export function createScenario(
  name: keyof typeof SURGES,
  options: Pick<LoopSettings, 'seed' | 'isProtected' | 'longestDelayMs'>,
  durationsMs: readonly [number, number, number] = [5000, 10_000, 10_000],
): LoopSettings {
  const { classes, rates, slowdown } = SURGES[name];
  const normalRates = createRates(NORMAL_LOAD);
  const phases: readonly LoopPhase[] = [
    { durationMs: durationsMs[0], rates: normalRates, slowdown: 1 },
    { durationMs: durationsMs[1], rates, slowdown },
    { durationMs: durationsMs[2], rates: normalRates, slowdown: 1 },
  ];
  return { ...options, classes, phases };
}

function createRates(total: number): readonly number[] {
  return Array<number>(WORKSPACES).fill(total / WORKSPACES);
}
