import { runTrial, type Count, type Scenario, type TrialResult } from './shares/runTrial.js';

const SEED = Number(process.env.SHARES_SEED ?? 20_261_204);

const RATES = [200, 100, 40, 20, 10, 10, 5, 5];

/** The burst of a workspace is what its rate allows in this time. */
const BURST_SECONDS = 1.5;

const FLEETS = [
  { vms: 18, domains: 4, delayMs: 1.5 },
  { vms: 16, domains: 3, delayMs: 1 },
];

const SCENARIOS: readonly Scenario[] = ['oneNode', 'allNodes', 'moving', 'deadVm', 'split'];

const LOADS = [0.5, 0.8, 0.95];

const rates = RATES.map((rate, index) => ({
  name: `w${index}-${rate}`,
  rate,
  burst: Math.ceil(rate * BURST_SECONDS),
}));

const rateOf = new Map(rates.map(({ name, rate }) => [name, rate]));

const traffic: string[] = [];

print(`seed ${SEED}; refused of the requests inside the rate, in percent`);
print(
  '| VMs / domains | M | demand | load | ledger | static shares | home node | ledger, rate >= 40 | rate 20 | rate 10 | rate 5 |',
);
print('| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |');
FLEETS.forEach((fleet) => {
  [0, 1].forEach((spare) => {
    SCENARIOS.forEach((scenario) => {
      LOADS.forEach((load) => {
        const maxVms = fleet.vms + spare;
        const result = runTrial({ ...fleet, maxVms, scenario, load, rates, seed: SEED });
        const place = `| ${fleet.vms} / ${fleet.domains} | ${maxVms} | ${scenario} | ${load}`;
        print(`${place} | ${formatRefusals(result)} |`);
        if (spare === 0 && load === 0.8) {
          traffic.push(`${place} | ${formatTraffic(result)} |`);
        }
      });
    });
  });
});
print('');
print('control traffic of one node, sent and received: messages/s, bytes/s');
print(
  '| VMs / domains | M | demand | load | quietest node | median | busiest other | busiest holder |',
);
print('| --- | --- | --- | --- | --- | --- | --- | --- |');
traffic.forEach(print);

function formatRefusals({ counts }: TrialResult): string {
  const all = [...counts];
  const formatPart = (field: keyof Count, hasRate: (rate: number) => boolean): string => {
    const chosen = all.filter(([name]) => hasRate(rateOf.get(name) ?? 0));
    const total = (key: keyof Count): number =>
      chosen.reduce((sum, [, count]) => sum + count[key], 0);
    return ((100 * total(field)) / total('inside')).toFixed(2);
  };
  return [
    formatPart('ledger', () => true),
    formatPart('fixed', () => true),
    formatPart('home', () => true),
    formatPart('ledger', (rate) => rate >= 40),
    ...[20, 10, 5].map((shown) => formatPart('ledger', (rate) => rate === shown)),
  ].join(' | ');
}

function formatTraffic({ traffic: byName, holders, measuredMs }: TrialResult): string {
  const nodes = [...byName].map(([name, { messages, bytes }]) => ({
    name,
    messages: (messages * 1_000) / measuredMs,
    bytes: (bytes * 1_000) / measuredMs,
  }));
  nodes.sort((left, right) => left.bytes - right.bytes);
  const others = nodes.filter(({ name }) => !holders.has(name));
  const busiestHolder = [...nodes].reverse().find(({ name }) => holders.has(name));
  const shown = [
    others[0],
    others[Math.floor(others.length / 2)],
    others[others.length - 1],
    busiestHolder,
  ];
  return shown.map((node) => `${node?.messages.toFixed(1)}, ${node?.bytes.toFixed(0)}`).join(' | ');
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
