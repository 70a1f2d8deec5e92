import { expect } from 'chai';
import { fleet } from '../src/index.js';

function isAlive(id: number | undefined): boolean {
  try {
    return process.kill(id ?? 0, 0);
  } catch {
    return false;
  }
}

describe('ManagedProcess', () => {
  it('guards against a process that still runs after its disposal', async () => {
    const started = new fleet.ManagedProcess('platform', fleet.SCRIPTS.platform, []);
    const { address } = await started.waitReady();
    expect(address).to.match(/^127\.0\.0\.1:\d+$/);
    expect(isAlive(started.id)).to.equal(true);
    await started[Symbol.asyncDispose]();
    expect(isAlive(started.id)).to.equal(false);
  });

  it('guards against a wait for a process that has already exited, and an error without its output', async () => {
    const started = new fleet.ManagedProcess('backend', fleet.SCRIPTS.backend, ['/nowhere.json']);
    const error: unknown = await started.waitReady().catch((reason: unknown) => reason);
    expect(error).to.be.instanceOf(fleet.ProcessStartError);
    expect((error as Error).message).to.match(/^backend: ended with 1\n[\s\S]*ENOENT/);
  });
});
