import * as childProcess from 'node:child_process';
import { once } from 'node:events';
import * as fs from 'node:fs/promises';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import { expect } from 'chai';
import * as undici from 'undici';
import * as bundle from '@tanagerpond/bundle';
import { backend, collector, time } from '../src/index.js';
import * as connection from '../src/connection/index.js';

function buildOptions(origin: string, serviceMs: number): backend.BackendOptions {
  const route = { method: 'POST', repeatable: false, serviceMs, calls: [] };
  return backend.backendOptionsSchema.parse({
    vm: 'deep-1',
    service: 'deep',
    slots: 1,
    seed: 1,
    collector: origin,
    routes: [{ ...route, name: 'deep.take', path: '/items/:id/take' }],
  });
}

async function send(address: string, id: string, headers: Record<string, string> = {}) {
  return undici.request(`http://${address}/items/4/take`, {
    method: 'POST',
    headers: { 'x-request-id': id, 'x-attempt-id': `${id}.1`, ...headers },
    body: 'body',
  });
}

describe('BackendServer', () => {
  it('guards against work that exceeds the slots and a shed request that is recorded as run', async () => {
    await using runs = new collector.RunCollector();
    await using server = new backend.BackendServer(
      buildOptions(`http://${await runs.open()}`, 300),
    );
    const address = await server.open();
    const running = send(address, 'first');
    await time.waitFor(60);
    const shed = await send(address, 'second');
    expect(shed.statusCode).to.equal(503);
    expect(shed.headers['tanagerpond-shed']).to.equal('not-run');
    expect((await running).statusCode).to.equal(200);
    expect(runs.runs.map((run) => run.requestId)).to.deep.equal(['first']);
    expect(runs.listMisreportedAttempts(['second.1', 'first.1'])).to.deep.equal(['first.1']);
  });

  it('guards against a duplicate run or a caller key in a header that is not recorded', async () => {
    await using runs = new collector.RunCollector();
    await using server = new backend.BackendServer(buildOptions(`http://${await runs.open()}`, 1));
    const address = await server.open();
    await send(address, 'same');
    await send(address, 'same', { 'x-note': bundle.createKey() });
    expect(runs.listDuplicateRuns()).to.deep.equal(['same']);
    expect(runs.keysSeen).to.equal(1);
  });

  it('guards against a cancelled request that keeps its slot', async () => {
    await using runs = new collector.RunCollector();
    await using server = new backend.BackendServer(
      buildOptions(`http://${await runs.open()}`, 60_000),
    );
    const address = await server.open();
    const cancel = new AbortController();
    const cancelled = undici
      .request(`http://${address}/items/4/take`, { method: 'POST', signal: cancel.signal })
      .catch((error: Error) => error.name);
    await time.waitFor(60);
    cancel.abort();
    expect(await cancelled).to.equal('AbortError');
    await time.waitFor(60);
    expect(server.snapshot()).to.include({ running: 0, cancelled: 1 });
  });

  it('guards against calls of two runs of one attempt that have the same attempt id', async () => {
    const seen: string[] = [];
    const egress = http.createServer((request, response) => {
      seen.push(String(request.headers['x-attempt-id']));
      const answer = JSON.stringify({ requestId: request.headers['x-request-id'] });
      response.end(answer);
    });
    const origin = `http://${await connection.openLoopback(egress)}`;
    await using runs = new collector.RunCollector();
    const options = buildOptions(`http://${await runs.open()}`, 1);
    const call = { route: 'other.read', method: 'GET', target: '/other/items/:id' };
    await using server = new backend.BackendServer({
      ...options,
      routes: [{ ...options.routes[0], calls: [call] }],
    });
    server.setEgress(origin);
    const address = await server.open();
    const statuses = [await send(address, 'same'), await send(address, 'same')];
    await connection.closeServer(egress);
    expect(statuses.map((answer) => answer.statusCode)).to.deep.equal([200, 200]);
    expect(new Set(seen).size).to.equal(2);
    expect(seen.every((id) => id.startsWith('same.1/'))).to.equal(true);
  });

  it('guards against a run that is not recorded when it crashes the process', async () => {
    await using runs = new collector.RunCollector();
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'scenario-backend-'));
    const file = path.join(folder, 'options.json');
    await fs.writeFile(file, JSON.stringify(buildOptions(`http://${await runs.open()}`, 1)));
    const bin = url.fileURLToPath(new URL('../dist/bin/backend.js', import.meta.url));
    const child = childProcess.spawn(process.execPath, [bin, file], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const ended = once(child, 'exit');
    const [line] = (await once(child.stdout, 'data')) as [Buffer];
    const { address } = JSON.parse(line.toString()) as { address: string };
    const answer = await send(address, 'poison', { [backend.CRASH_HEADER]: '1' }).catch(
      () => 'broken',
    );
    await fs.rm(folder, { recursive: true });
    expect(answer).to.equal('broken');
    expect(await ended).to.deep.equal([backend.CRASH_EXIT_CODE, null]);
    expect(runs.runs.map((run) => run.attemptId)).to.deep.equal(['poison.1']);
  });
});
