import { expect } from 'chai';
import * as undici from 'undici';
import { platform } from '../src/index.js';

const VM = {
  name: 'deep-1',
  service: 'deep',
  failureDomain: 'a',
  peerAddress: '127.0.0.1:1',
  state: 'live' as const,
};

async function read(address: string, path: string): Promise<{ status: number; body: string }> {
  const answer = await undici.request(`http://${address}${path}`);
  return { status: answer.statusCode, body: await answer.body.text() };
}

describe('PlatformServer', () => {
  it('guards against a watch that misses a change or never ends', async () => {
    await using server = new platform.PlatformServer();
    const address = await server.open('reader');
    server.publishBundle('one');
    const waiting = read(address, '/configuration/bundle?after=1&waitMs=5000');
    await read(address, '/configuration/bundle');
    server.publishBundle('two');
    expect(await waiting).to.deep.equal({ status: 200, body: 'two' });
    const timedOut = await read(address, '/configuration/bundle?after=2&waitMs=20');
    expect(timedOut.status).to.equal(304);
  });

  it('guards against a delayed list that is visible early and a reader that gets addresses of another reader', async () => {
    await using server = new platform.PlatformServer();
    const address = await server.open('front-1');
    server.publishList({ vms: [VM], addresses: { 'front-1': { 'deep-1': '127.0.0.1:9' } } }, 150);
    expect((await read(address, '/vms')).body).to.equal('{"index":0,"vms":[]}');
    const seen = JSON.parse((await read(address, '/vms?after=0&waitMs=2000')).body) as object;
    expect(seen).to.deep.equal({ index: 1, vms: [{ ...VM, peerAddress: '127.0.0.1:9' }] });
  });

  it('guards against a stale platform that serves new values, and reads that are not counted', async () => {
    await using server = new platform.PlatformServer();
    const address = await server.open('reader');
    server.publishBundle('old');
    server.setMode('bundle', 'stale');
    server.publishBundle('new');
    expect((await read(address, '/configuration/bundle')).body).to.equal('old');
    server.setMode('bundle', 'normal');
    expect((await read(address, '/configuration/bundle')).body).to.equal('new');
    expect(server.snapshot(performance.now())).to.include({ calls: 2, waitingWatches: 0 });
  });
});
