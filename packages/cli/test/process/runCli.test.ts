import * as fs from 'node:fs/promises';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import { expect } from 'chai';
import { createKey, digestKey, isKey, SECTION_FILES } from '@tanagerpond/bundle';
import { runCli } from '../../src/process/index.js';

const EXAMPLE = url.fileURLToPath(new URL('../../../../examples/ferreyra', import.meta.url));

describe('tanagerpond', () => {
  let folder: string;
  let out: string[];
  let errors: string[];
  let input: string;

  beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), 'tanagerpond-cli-'));
    out = [];
    errors = [];
    input = '';
  });

  afterEach(() => fs.rm(folder, { recursive: true }));

  it('guards against a signed bundle that fails verification, and a difference that bundle diff does not show', async () => {
    const [key, first, second] = ['key.pem', '1.json', '2.json'].map((name) =>
      path.join(folder, name),
    );
    expect(await run('key', 'signing', '--out', key)).to.equal(0);
    const trust = `--trust=${out[0]}`;
    expect(
      await run('bundle', 'sign', EXAMPLE, '--version', '1', '--key', key, '--out', first),
    ).to.equal(0);
    await copyExample(path.join(folder, 'next'));
    const file = path.join(folder, 'next', 'workspaces.ini');
    const digest = digestKey(createKey());
    const text = (await fs.readFile(file, 'utf8'))
      .replace('rate = 400', 'rate = 450')
      .replace('key-digests =', `key-digests = ${digest}`);
    await fs.writeFile(file, text);
    const next = path.join(folder, 'next');
    expect(
      await run('bundle', 'sign', next, '--version', '2', '--key', key, '--out', second),
    ).to.equal(0);
    expect(await run('bundle', 'verify', second, trust)).to.equal(0);
    expect(await run('bundle', 'verify', second, `--trust=${'A'.repeat(43)}`)).to.equal(1);
    out.length = 0;
    expect(await run('bundle', 'diff', first, second)).to.equal(0);
    expect(out).to.deep.equal([
      'version 1 -> 2',
      'workspace caminos-norte: rate 400 -> 450',
      `workspace caminos-norte: keyDigests +${digest.slice(0, 8)}`,
    ]);
    out.length = 0;
    expect(await run('bundle', 'show', second)).to.equal(0);
    expect(out.join('\n')).to.include(
      'workspace caminos-norte: 450/s, burst 600, weight 4, 1 keys',
    );
  });

  it('guards against a private key file that other users can read or that overwrites an existing file', async () => {
    const file = path.join(folder, 'key.pem');
    expect(await run('key', 'signing', '--out', file)).to.equal(0);
    const { mode } = await fs.stat(file);
    expect(mode % 0o1000).to.equal(0o600);
    const before = await fs.readFile(file, 'utf8');
    expect(await run('key', 'signing', '--out', file)).to.equal(2);
    expect(await fs.readFile(file, 'utf8')).to.equal(before);
  });

  it('guards against a key on the command line that is echoed in an error message', async () => {
    const key = createKey();
    expect(await run('key', 'digest', key)).to.equal(2);
    expect([...out, ...errors].join()).to.not.include(key);
    input = `${key}\n`;
    expect(await run('key', 'digest')).to.equal(0);
    expect(out).to.deep.equal([digestKey(key)]);
    input = 'no key';
    expect(await run('key', 'digest')).to.equal(2);
  });

  it('guards against a new key that is printed with a wrong digest', async () => {
    expect(await run('key', 'new', '--json')).to.equal(0);
    const { key, digest } = JSON.parse(out[0] ?? '');
    expect(isKey(key)).to.equal(true);
    expect(digest).to.equal(digestKey(key));
  });

  it('guards against wrong exit codes for invalid bundles, usage errors and missing files', async () => {
    await copyExample(folder);
    await fs.appendFile(path.join(folder, 'fleet.ini'), 'max-vm = 3\n');
    expect(await run('bundle', 'check', EXAMPLE)).to.equal(0);
    expect(await run('bundle', 'check', folder)).to.equal(1);
    expect(errors[0]).to.match(/^fleet\.ini:\d+: \[fleet\] max-vm: expected one of the keys/);
    expect(await run('bundle', 'check', folder, '--json')).to.equal(1);
    expect(JSON.parse(out.at(-1) ?? '').error.problems[0].key).to.equal('max-vm');
    const usage = [
      [],
      ['bundle'],
      ['bundle', 'check'],
      ['bundle', 'check', 'a', '--no-such'],
      ['drain'],
    ];
    expect(await Promise.all(usage.map((words) => run(...words)))).to.deep.equal([2, 2, 2, 2, 2]);
    expect(await run('bundle', 'check', path.join(folder, 'none'))).to.equal(2);
    expect(await run('bundle', 'verify', path.join(folder, 'none'), '--trust=x')).to.equal(2);
    expect(await run('scenario', 'run', path.join(folder, 'none'))).to.equal(2);
  });

  it('guards against a state or drain command that succeeds although the node does not answer', async () => {
    const requests: string[] = [];
    const server = http.createServer((request, response) => {
      requests.push(`${request.method} ${request.url}`);
      response.writeHead(request.method === 'POST' ? 202 : 200);
      response.end('{"vm":"a","links":[{"peer":"b","up":true}]}');
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    expect(await run('state', 'dump', address)).to.equal(0);
    expect(out).to.deep.equal(['vm: a\nlinks:\n  - peer=b up=true']);
    expect(await run('node', 'drain', address)).to.equal(0);
    expect(requests).to.deep.equal(['GET /state', 'POST /drain']);
    server.close();
    server.closeAllConnections();
    expect(await run('state', 'dump', address)).to.equal(1);
    expect(await run('node', 'drain', address)).to.equal(1);
    expect(await run('node', 'drain', 'http://x')).to.equal(2);
  });

  function run(...words: (string | undefined)[]): Promise<number> {
    return runCli(
      words.map((word) => word ?? ''),
      {
        write: (line) => out.push(line),
        writeError: (line) => errors.push(line),
        readInput: () => Promise.resolve(input),
      },
    );
  }
});

async function copyExample(folder: string): Promise<void> {
  await fs.mkdir(folder, { recursive: true });
  await Promise.all(
    SECTION_FILES.map((file) => fs.copyFile(path.join(EXAMPLE, file), path.join(folder, file))),
  );
}
