import { createScenario, SURGES } from './createScenario.js';
import { measureLoop } from './measureLoop.js';
import type { LoopFigures } from './measureLoop.js';

const SEED = Number(process.env.SEED ?? 7);
const LONGEST_DELAYS_MS = [1.5, 15, 50];

type Name = keyof typeof SURGES;

const NAMES = Object.keys(SURGES) as Name[];

process.stdout.write(`seed ${SEED}\n\n${renderTable().join('\n')}\n\n`);
NAMES.forEach((name) => process.stdout.write(`${name}: ${SURGES[name].description}\n`));

function renderTable(): readonly string[] {
  const head = [
    'surge',
    'feedback ms',
    'limits',
    'goodput',
    'lowest second',
    'recovery s',
    'worst workspace',
    'worst quiet',
    'class 0',
    'arrivals',
  ];
  const rows = NAMES.flatMap((name) => [
    renderRow(name, LONGEST_DELAYS_MS[1], false),
    ...LONGEST_DELAYS_MS.map((delayMs) => renderRow(name, delayMs, true)),
  ]);
  const rule = head.map(() => '---');
  return [head, rule, ...rows].map((cells) => `| ${cells.join(' | ')} |`);
}

function renderRow(name: Name, longestDelayMs: number, isProtected: boolean): readonly string[] {
  const figures = measureLoop(createScenario(name, { seed: SEED, isProtected, longestDelayMs }));
  return [
    name,
    `3 to ${2 * longestDelayMs}`,
    isProtected ? 'yes' : 'no',
    ...renderFigures(name, figures),
  ];
}

function renderFigures(name: Name, figures: LoopFigures): readonly string[] {
  const recovery = Number.isFinite(figures.recoveryMs)
    ? (figures.recoveryMs / 1000).toFixed(2)
    : 'never';
  return [
    figures.goodput.toFixed(3),
    figures.lowestGoodput.toFixed(3),
    recovery,
    Math.min(...figures.servedByWorkspace).toFixed(3),
    Math.min(...figures.servedByWorkspace.slice(1)).toFixed(3),
    SURGES[name].classes[0] === 0 ? '-' : figures.servedByClass[0].toFixed(3),
    figures.arrivals.toFixed(2),
  ];
}
