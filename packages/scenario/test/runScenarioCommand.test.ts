import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import { expect } from 'chai';
import { runScenarioCommand } from '../src/index.js';

async function runText(text: string): Promise<{ code: number; lines: readonly string[] }> {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'scenario-test-'));
  const file = path.join(folder, 'test.scenario');
  await fs.writeFile(file, text);
  const lines: string[] = [];
  const code = await runScenarioCommand(file, { log: (line) => lines.push(line) });
  await fs.rm(folder, { recursive: true });
  return { code, lines };
}

describe('runScenarioCommand', () => {
  it('guards against a missing file or one with a syntax error that counts as passed', async () => {
    expect(await runScenarioCommand('/nowhere.scenario', { log: () => undefined })).to.equal(2);
    const { code, lines } = await runText('deployment chain with x VMs per service\n');
    expect(code).to.equal(2);
    expect(lines.join('')).to.match(/test\.scenario:1: column 23: expected/);
  });

  it('guards against an error before the start of the fleet that is reported without its line', async () => {
    const missing = await runText(
      'deployment chain with 1 VMs per service\nset [workspace nobody] rate = 3\nstart fleet\nexpect double runs = 0\n',
    );
    expect(missing.code).to.equal(1);
    expect(missing.lines.at(-1)).to.match(/test\.scenario:2: no section \[workspace nobody\]/);
    const invalid = await runText(
      'deployment chain with 1 VMs per service\nset [fleet] max-vms = many\nstart fleet\nexpect double runs = 0\n',
    );
    expect(invalid.lines.at(-1)).to.match(/test\.scenario:2: fleet\.ini/);
  });

  it('guards against an expectation that passes although its value does not match', async () => {
    const { code, lines } = await runText(
      'deployment chain with 1 VMs per service\nset [fleet] max-vms = 3\nstart fleet\nload one of north on front.home at 20 per second for 300 ms\nwait for all loads\nexpect whole of one = 0\n',
    );
    expect(code, lines.join('\n')).to.equal(1);
    expect(lines.at(-1)).to.match(/test\.scenario:6: expect whole of one = 0: measured [1-9]/);
  }).timeout(60_000);
});
