import { expect } from 'chai';
import { ConcurrencyLimit } from '../../../src/process/admission/index.js';

describe('ConcurrencyLimit', () => {
  it('guards against a limit of NaN when the measured latency is 0', () => {
    const limit = new ConcurrencyLimit({ slots: 50 });
    for (let nowMs = 0; nowMs < 5_000; nowMs += 10) {
      limit.record({ outcome: 'answered', latencyMs: 0, inFlight: 1, queued: 0 }, nowMs);
    }
    expect(limit.read()).to.be.within(1, 50);
  });

  it('guards against slow start from the one placeholder slot that was set before the first bundle', () => {
    const limit = new ConcurrencyLimit({ slots: 1 });
    limit.configure(80);
    expect(limit.read()).to.equal(new ConcurrencyLimit({ slots: 80 }).read());
  });
});
