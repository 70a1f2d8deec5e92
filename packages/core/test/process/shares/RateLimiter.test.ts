import { expect } from 'chai';
import * as membership from '../../../src/process/membership/index.js';
import * as shares from '../../../src/process/shares/index.js';
import { createBundle } from './createBundle.js';

const LEASE_MS = 1_000;

const READY_MS = 1_026;

const TICK_MS = 50;

describe('RateLimiter', () => {
  it('guards against a restarted VM that uses its share while leases of its previous process may be valid', () => {
    const limiter = createSingleLimiter();
    limiter.applyBundle(createSingleBundle(10), 0);
    advanceTo(limiter, LEASE_MS);
    expect(limiter.request('ferry', 'a', LEASE_MS)).to.equal('waiting');
    advanceTo(limiter, READY_MS + 200, LEASE_MS);
    expect(limiter.request('ferry', 'b', READY_MS + 200)).to.equal('granted');
  });

  it('guards against a single VM that cannot use its own share', () => {
    const limiter = createSingleLimiter();
    limiter.applyBundle(createSingleBundle(10), 0);
    advanceTo(limiter, READY_MS + 1_800);
    const granted = Array.from({ length: 30 }, (_, index) =>
      limiter.request('ferry', `${index}`, READY_MS + 1_800),
    ).filter((outcome) => outcome === 'granted');
    expect(granted).to.have.length(10);
  });

  it('guards against a retry delay that ends before the startup wait of the node', () => {
    const limiter = createSingleLimiter();
    limiter.applyBundle(createSingleBundle(10), 0);
    limiter.request('ferry', 'a', 0);
    const denials = [0, 50, 100, 150].flatMap((nowMs) => limiter.advance(nowMs));
    const [denied] = denials.flatMap((command) => (command.kind === 'denied' ? [command] : []));
    expect(100 + denied.retryAfterMs).to.be.within(READY_MS, READY_MS + 500);
  });

  it('guards against requests of an unknown workspace that wait forever', () => {
    const limiter = createSingleLimiter();
    limiter.applyBundle(createSingleBundle(10), 0);
    expect(limiter.request('unknown', 'a', 10)).to.equal('waiting');
    expect(limiter.advance(50).map((command) => command.kind)).to.deep.equal(['denied']);
  });

  it('guards against tokens that exceed the burst of a new bundle', () => {
    const limiter = createSingleLimiter();
    limiter.applyBundle(createSingleBundle(10), 0);
    advanceTo(limiter, READY_MS + 1_800);
    limiter.applyBundle(createSingleBundle(2), READY_MS + 1_800);
    const outcomes = ['a', 'b', 'c'].map((id) => limiter.request('ferry', id, READY_MS + 1_800));
    expect(outcomes).to.deep.equal(['granted', 'granted', 'waiting']);
  });
});

function createSingleLimiter(): shares.RateLimiter {
  const self = { name: 'vm-1', service: 'desk', failureDomain: 'a', incarnation: '0123456789' };
  return new shares.RateLimiter({
    self,
    membership: new membership.Membership(self),
    random: { next: () => 0.5 },
    startedMs: 0,
  });
}

function advanceTo(limiter: shares.RateLimiter, toMs: number, fromMs = 0): void {
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += TICK_MS) {
    limiter.advance(nowMs);
  }
}

function createSingleBundle(burst: number): ReturnType<typeof createBundle> {
  return createBundle([{ name: 'ferry', rate: 10, burst }], { maxVms: 1, shareLeaseMs: LEASE_MS });
}
