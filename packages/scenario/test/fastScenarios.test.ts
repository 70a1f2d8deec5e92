import { expect } from 'chai';
import * as path from 'node:path';
import { fleet, runScenarioCommand } from '../src/index.js';

/** Files of `scenarios/fast` that run with every test run, with the failure that each one guards against. */
const SCENARIOS: readonly [file: string, failure: string][] = [
  ['03-identity', 'a request that runs without its workspace key'],
  ['04-keys', 'a caller key that reaches a backend server'],
  ['05-withdrawn-key', 'a withdrawn key that still works, also on open connections'],
  ['06-rate', 'a workspace that gets more than its rate, summed over all VMs'],
  [
    '09-kills',
    'a request that runs twice, or runs although it was reported as not run, when processes are killed',
  ],
];

/** A scenario starts 13 processes and sends load for up to 8 s; on a loaded machine, the processes start slowly. */
const LIMIT_MS = 60_000;

describe('fast scenarios', function describeScenarios() {
  this.timeout(LIMIT_MS);

  SCENARIOS.forEach(([name, failure]) => {
    it(`guards against ${failure}`, async () => {
      const lines: string[] = [];
      const file = path.join(fleet.REPOSITORY_FOLDER, 'scenarios', 'fast', `${name}.scenario`);
      const code = await runScenarioCommand(file, { log: (line) => lines.push(line) });
      expect(code, lines.join('\n')).to.equal(0);
    });
  });
});
