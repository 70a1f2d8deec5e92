import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { request } from 'undici';
import type { NodeAddresses } from '../../src/index.js';
import { renderSettings } from '../support/RelayPair.js';
import { waitFor } from '../support/waitFor.js';

const BINARY = fileURLToPath(new URL('../../dist/bin/tanagerpondNode.js', import.meta.url));

/** Addresses on which nothing listens: the process starts without a platform and a backend server. */
const OUTSIDE = { backend: '127.0.0.1:1', platform: '127.0.0.1:1' };

describe('tanagerpondNode binary', () => {
  let folder: string;
  let child: ChildProcess | undefined;
  let out: string;
  let errors: string;
  let exitCode: number | null | undefined;

  beforeEach(async () => {
    folder = await mkdtemp(path.join(tmpdir(), 'host-test-'));
  });

  afterEach(async () => {
    child?.kill('SIGKILL');
    await rm(folder, { recursive: true });
  });

  async function run(text: string, ...options: readonly string[]): Promise<void> {
    const file = path.join(folder, 'node.ini');
    await writeFile(file, text);
    out = '';
    errors = '';
    exitCode = undefined;
    child = spawn(process.execPath, [BINARY, '--settings', file, ...options]);
    child.stdout?.on('data', (bytes: Buffer) => {
      out += bytes.toString();
    });
    child.stderr?.on('data', (bytes: Buffer) => {
      errors += bytes.toString();
    });
    child.on('close', (code) => {
      exitCode = code;
    });
  }

  async function waitReady(): Promise<NodeAddresses> {
    await waitFor('the ready line', () => /"ready":true.*\n/.test(out));
    const line = out.split('\n').find((text) => text.includes('"ready":true'));
    return (JSON.parse(line ?? '') as { readonly addresses: NodeAddresses }).addresses;
  }

  it('guards against --check starting the node, or settings faults without an exit code', async () => {
    await run(renderSettings('a', OUTSIDE), '--check');
    await waitFor('the first check', () => exitCode !== undefined);
    expect([exitCode, out, errors]).to.deep.equal([0, '', '']);
    await run(renderSettings('a', OUTSIDE).replace('wait-ms = 100', 'wait = 5'), '--check');
    await waitFor('the second check', () => exitCode !== undefined);
    expect(exitCode).to.equal(2);
    expect(errors).to.match(/^settings: .*node\.ini: \[platform\] wait expected a known key\n$/);
  });

  it('guards against missing TLS files that are noticed only when a peer connects', async () => {
    const files = 'certificate = no.crt\nkey = no.key\nauthorities = no-ca.crt';
    await run(renderSettings('a', OUTSIDE).replace('plain-text = yes', files), '--check');
    await waitFor('the check', () => exitCode !== undefined);
    expect(exitCode).to.equal(2);
    expect(
      errors.match(/\[tls\] (certificate|key|authorities) expected a readable PEM file/g),
    ).to.have.length(3);
  });

  it('guards against a process that ends because the reader of its log has gone away', async () => {
    await run(renderSettings('a', OUTSIDE));
    const { admin } = await waitReady();
    child?.stdout?.destroy();
    child?.stderr?.destroy();
    for (let count = 0; count < 5; count += 1) {
      child?.kill('SIGHUP');
      await wait(100);
    }
    const { statusCode, body } = await request(`http://${admin}/health`);
    await body.dump();
    expect([statusCode, exitCode]).to.deep.equal([200, undefined]);
    child?.kill('SIGKILL');
    await waitFor('the end', () => exitCode !== undefined);
  });

  it('guards against SIGTERM ending with an error, and against an admin listener without health, metrics or state', async () => {
    await run(renderSettings('a', OUTSIDE));
    const { admin, caller } = await waitReady();
    const refused = await request(`http://${caller}/s/x`);
    expect([refused.statusCode, refused.headers['tanagerpond-reason']]).to.deep.equal([
      503,
      'starting',
    ]);
    await refused.body.dump();
    const health = await request(`http://${admin}/health`);
    expect(await health.body.json()).to.deep.equal({ state: 'healthy' });
    const metrics = await (await request(`http://${admin}/metrics`)).body.text();
    expect(metrics).to.match(/^tanagerpond_host_events_total\{event="caller_requests"\} 1$/m);
    expect(metrics).to.match(
      /^tanagerpond_request_duration_ms\{listener="caller",percentile="99"\}/m,
    );
    const state = await (await request(`http://${admin}/state`)).body.text();
    expect(JSON.parse(state)).to.include.keys('vm', 'decisions', 'links', 'bodies', 'settings');
    child?.kill('SIGTERM');
    await waitFor('the exit', () => exitCode !== undefined);
    expect(exitCode).to.equal(0);
    expect(errors).to.equal('');
    const lines = out.trim().split('\n');
    const logged = lines.filter((line) => !line.includes('"ready":true'));
    expect(logged).to.have.length(lines.length - 1);
    logged.forEach((line) => expect(JSON.parse(line)).to.include.keys('level', 'message'));
  });

  it('guards against a reload that ends the process or applies an invalid file', async () => {
    await run(renderSettings('a', OUTSIDE));
    await waitReady();
    const file = path.join(folder, 'node.ini');
    await writeFile(file, renderSettings('a', OUTSIDE).replace('wait-ms = 100', 'wait = 5'));
    child?.kill('SIGHUP');
    await waitFor('the fault', () =>
      out.includes('reload failed; current settings stay in effect'),
    );
    await writeFile(file, renderSettings('a', OUTSIDE).replace('wait-ms = 100', 'wait-ms = 200'));
    child?.kill('SIGHUP');
    await waitFor('the reload', () => out.includes('settings: reloaded'));
    expect(out).to.include('"needsRestart":"platform.wait-ms"');
    expect(exitCode).to.equal(undefined);
    child?.kill('SIGTERM');
    await waitFor('the exit', () => exitCode !== undefined);
    expect(exitCode).to.equal(0);
  });

  it('guards against a drain request to the admin listener that does not end the process', async () => {
    await run(renderSettings('a', OUTSIDE));
    const { admin } = await waitReady();
    const answer = await request(`http://${admin}/drain`, { method: 'POST' });
    expect(answer.statusCode).to.equal(202);
    await waitFor('the exit', () => exitCode !== undefined);
    expect(exitCode).to.equal(0);
  });

  it('guards against a process that keeps running without a listener whose address is in use', async () => {
    await run(renderSettings('a', OUTSIDE));
    const { caller } = await waitReady();
    const first = child;
    await run(renderSettings('b', OUTSIDE).replace('caller = 127.0.0.1:0', `caller = ${caller}`));
    await waitFor('the exit', () => exitCode !== undefined);
    first?.kill('SIGKILL');
    expect(exitCode).to.equal(1);
    expect(out).to.not.include('"ready":true');
    expect(out).to.include('listener could not be opened');
  });
});
