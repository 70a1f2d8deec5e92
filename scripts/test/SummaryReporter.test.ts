import { spawn } from 'node:child_process';
import { once } from 'node:events';
import * as fs from 'node:fs/promises';
import { createRequire } from 'node:module';
import * as os from 'node:os';
import * as path from 'node:path';
import { text } from 'node:stream/consumers';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';

const MOCHA = createRequire(import.meta.url).resolve('mocha/bin/mocha.js');
const TSX = import.meta.resolve('tsx');
const REPORTER = fileURLToPath(new URL('../SummaryReporter.ts', import.meta.url));
const ROOT = fileURLToPath(new URL('../..', import.meta.url));

const PASSING = "it('passes', () => {});";
const BROKEN = "it('is broken', () => { throw new Error('one\\ntwo'); });";
const OTHER = "it('is broken too', () => { throw new Error('three'); });";

interface Run {
  readonly code: number;
  readonly lines: readonly string[];
  readonly last: string;
}

function renderEntry(test: string): string {
  return `test: ${test}\ncommand: npm test\nseed: none\nseen: one was thrown\nissue: 7\n`;
}

describe('SummaryReporter', () => {
  let folder: string;

  beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), 'summary-reporter-'));
  });

  afterEach(async () => {
    await fs.rm(folder, { recursive: true });
  });

  /** Runs mocha on a suite `Fixture` with the given tests; writes a list of known failures unless it is undefined. */
  async function run(
    tests: readonly string[],
    list: string | undefined,
    ...options: readonly string[]
  ): Promise<Run> {
    const body = tests.join('\n');
    await fs.writeFile(path.join(folder, 'a.cjs'), `describe('Fixture', () => {\n${body}\n});\n`);
    if (list !== undefined) await fs.writeFile(path.join(folder, 'KNOWN-RED.txt'), list);
    const args = ['--import', TSX, MOCHA, '--no-config', '--reporter', REPORTER, 'a.cjs'];
    const child = spawn(process.execPath, [...args, ...options], {
      cwd: folder,
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const [output, [code]] = await Promise.all([text(child.stdout), once(child, 'exit')]);
    const lines = output.trimEnd().split('\n');
    return { code: code as number, lines, last: lines.at(-1) ?? '' };
  }

  it('guards against a missing list, an empty list or one of comments that changes the result of a run', async () => {
    const failed = await run([PASSING, BROKEN], undefined);
    expect([failed.code, failed.last]).to.deep.equal([1, '1 passed, 1 failed']);
    const passed = await run([PASSING], '');
    expect([passed.code, passed.last]).to.deep.equal([0, '1 passed, 0 failed']);
    const bare = await run([PASSING, BROKEN], '# none\n');
    expect([bare.code, bare.last]).to.deep.equal([1, '1 passed, 1 failed']);
    expect(bare.lines.join('\n')).not.to.include('KNOWN-RED.txt');
  });

  it('guards against a listed failure that fails the run or is not printed', async () => {
    const { code, lines, last } = await run([BROKEN, PASSING], renderEntry('Fixture is broken'));
    expect([code, last]).to.deep.equal([0, '1 passed, 0 failed']);
    const start = lines.indexOf('known failures of KNOWN-RED.txt: 1');
    expect(lines.slice(start + 1, start + 5)).to.deep.equal([
      '  Fixture is broken',
      '    issue: 7',
      '    seen:  one was thrown',
      '    now:   Error: one',
    ]);
  });

  it('guards against a listed test that is skipped instead of run', async () => {
    const marker = path.join(folder, 'marker');
    const writing = `it('writes', () => { require('fs').writeFileSync('marker', ''); throw Error(); });`;
    const { code } = await run([writing], renderEntry('Fixture writes'));
    expect(code).to.equal(0);
    await fs.access(marker);
  });

  it('guards against an unlisted failure that is ignored because another one is listed', async () => {
    const list = renderEntry('Fixture is broken');
    const { code, lines, last } = await run([BROKEN, OTHER, PASSING], list);
    expect([code, last]).to.deep.equal([1, '1 passed, 1 failed']);
    expect(lines.filter((line) => line.includes('Error: three'))).to.have.length(1);
  });

  it('guards against an entry that is accepted although its test passes', async () => {
    const { code, lines, last } = await run([PASSING], renderEntry('Fixture passes'));
    expect([code, last]).to.deep.equal([1, '1 passed, 1 failed']);
    expect(lines).to.include('KNOWN-RED.txt: "Fixture passes" passes; remove its entry');
  });

  it('guards against an entry that is accepted although its test does not exist', async () => {
    const { code, lines, last } = await run([PASSING], renderEntry('Fixture was renamed'));
    expect([code, last]).to.deep.equal([1, '1 passed, 1 failed']);
    expect(lines.at(-2)).to.equal(
      'KNOWN-RED.txt: "Fixture was renamed" does not exist; correct or remove its entry',
    );
  });

  it('guards against a list that is accepted although it lists a test twice', async () => {
    const entry = renderEntry('Fixture is broken');
    const { code, lines, last } = await run([BROKEN], `${entry}\n${entry}`);
    expect([code, last]).to.deep.equal([2, '0 passed, 2 failed']);
    expect(lines.at(-2)).to.match(/^KNOWN-RED\.txt:7: expected a test that is not listed yet/);
  });

  it('guards against a malformed entry that is silently ignored', async () => {
    const { code, lines, last } = await run([PASSING], 'test: Fixture passes\n');
    expect([code, last]).to.deep.equal([1, '1 passed, 1 failed']);
    expect(lines.at(-2)).to.equal(
      'KNOWN-RED.txt:2: expected "command: " and a command, found the end of the entry',
    );
  });

  it('guards against an unreadable list that is treated as empty', async () => {
    await fs.mkdir(path.join(folder, 'KNOWN-RED.txt'));
    const { code, last } = await run([PASSING], undefined);
    expect([code, last]).to.deep.equal([1, '1 passed, 1 failed']);
  });

  it('guards against one entry that excuses two tests with the same title', async () => {
    const { code, lines, last } = await run([BROKEN, BROKEN], renderEntry('Fixture is broken'));
    expect([code, last]).to.deep.equal([3, '0 passed, 3 failed']);
    expect(lines.at(-2)).to.include('is the title of 2 tests');
  });

  it('guards against an entry that is accepted although its test is skipped', async () => {
    const skipped = BROKEN.replace(/^it/, 'it.skip');
    const { code, lines, last } = await run([skipped], renderEntry('Fixture is broken'));
    expect([code, last]).to.deep.equal([1, '0 passed, 1 failed, 1 skipped']);
    expect(lines.at(-2)).to.include('was skipped');
  });

  it('guards against an entry that is accepted although `it.only` keeps its test from running', async () => {
    const exclusive = PASSING.replace(/^it/, 'it.only');
    const { code, lines } = await run([exclusive, BROKEN], renderEntry('Fixture is broken'));
    expect(code).to.equal(1);
    expect(lines.at(-2)).to.include('was not run');
  });

  it('guards against a failing hook that is excused by an entry', async () => {
    const hook = "beforeEach('hook', () => { throw new Error('of the hook'); });";
    const title = 'Fixture "before each" hook: hook for "passes"';
    const listed = await run([hook, PASSING], renderEntry(title));
    expect([listed.code, listed.last]).to.deep.equal([2, '0 passed, 2 failed']);
    expect(listed.lines.join('\n')).to.include(title);
    const twin = `it('"before each" hook: hook for "passes"', () => { throw new Error(); });`;
    const shared = await run([hook, PASSING, twin], renderEntry(title));
    expect([shared.code, shared.last]).to.deep.equal([2, '0 passed, 2 failed']);
    const beside = await run([hook, BROKEN], renderEntry('Fixture is broken'));
    expect([beside.code, beside.last]).to.deep.equal([2, '0 passed, 2 failed']);
    const after = hook.replace('beforeEach', 'afterEach');
    const afterwards = await run([after, BROKEN], renderEntry('Fixture is broken'));
    expect([afterwards.code, afterwards.last]).to.deep.equal([1, '0 passed, 1 failed']);
  });

  it('guards against a listed test that is excused when it fails after it has passed', async () => {
    const late = "it('is late', () => { process.nextTick(() => { throw new Error('late'); }); });";
    const { code, lines } = await run([late, PASSING], renderEntry('Fixture is late'));
    expect(code).to.be.greaterThan(0);
    expect(lines.join('\n')).to.include('late');
  });

  it('guards against a listed failure that ends the run early with a passing result', async () => {
    const list = renderEntry('Fixture is broken');
    const { code, lines } = await run([BROKEN, OTHER], list, '--bail');
    expect(code).to.equal(1);
    expect(lines.at(-2)).to.equal('KNOWN-RED.txt: only 1 of 2 tests were run');
  });

  it('guards against an entry that fails a run in which its test is not selected', async () => {
    const list = renderEntry('Fixture is broken');
    const others = await run([BROKEN, PASSING], list, '--grep', 'passes');
    expect([others.code, others.last]).to.deep.equal([0, '1 passed, 0 failed']);
    const listed = await run([BROKEN, PASSING], list, '--grep', 'broken');
    expect([listed.code, listed.last]).to.deep.equal([0, '0 passed, 0 failed']);
  });

  it('guards against a result of `npm test` that differs from the result of CI', async () => {
    const config = JSON.parse(await fs.readFile(path.join(ROOT, '.mocharc.json'), 'utf8'));
    expect(path.join(ROOT, config.reporter)).to.equal(REPORTER);
    const { scripts } = JSON.parse(await fs.readFile(path.join(ROOT, 'package.json'), 'utf8'));
    expect(scripts.test).to.match(/&& mocha$/);
    const ci = await fs.readFile(path.join(ROOT, '.ci/run'), 'utf8');
    expect(ci).to.match(/^set -euo pipefail$/m);
    expect(ci.trimEnd().split('\n').at(-1)).to.equal('npm test');
  });
});
