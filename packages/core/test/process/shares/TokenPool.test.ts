import { expect } from 'chai';
import { TokenPool } from '../../../src/process/shares/TokenPool.js';
import { createBundle } from './createBundle.js';

const RATE = 100;

const BURST = 10;

/** Refill of half of the shares, at 0.99 of the rate, in tokens per millisecond. */
const HALF_REFILL = 0.0495;

describe('TokenPool', () => {
  it('guards against a sublease that ends after the lease of the share that covers it', () => {
    const pool = createPool();
    pool.add('peer', { fraction: 0.5, expiresMs: 100 }, 0);
    expect(pool.readLevel('ferry', 90)).to.be.closeTo(4.455, 1e-9);
    expect(pool.grantSublease('ferry', 5, 101, 90)).to.equal(undefined);
    expect(pool.grantSublease('ferry', 5, 99, 90)?.level).to.be.closeTo(4.455, 1e-9);
  });

  it('guards against two subleases that are covered by the same capacity of the longer share', () => {
    const pool = createPool();
    pool.add('self', { fraction: 0.5, expiresMs: Number.POSITIVE_INFINITY }, 0);
    pool.add('peer', { fraction: 0.5, expiresMs: 1_000 }, 0);
    pool.readLevel('ferry', 500);
    expect(pool.grantSublease('ferry', 4, 2_000, 500)?.level).to.equal(4);
    expect(pool.grantSublease('ferry', 4, 900, 500)?.level).to.be.closeTo(1, 1e-9);
  });

  it('guards against refill for the time after the end of a lease in a process that resumes late', () => {
    const pool = createPool();
    pool.add('self', { fraction: 0.5, expiresMs: Number.POSITIVE_INFINITY }, 0);
    pool.add('peer', { fraction: 0.5, expiresMs: 20 }, 0);
    pool.removeExpired(60);
    expect(pool.readLevel('ferry', 60)).to.be.closeTo(
      20 * 2 * HALF_REFILL + 40 * HALF_REFILL,
      1e-9,
    );
  });

  it('guards against a share that is returned while it covers a sublease', () => {
    const pool = createPool();
    pool.add('self', { fraction: 0.5, expiresMs: Number.POSITIVE_INFINITY }, 0);
    pool.readLevel('ferry', 100);
    const lent = pool.grantSublease('ferry', 1, 500, 100);
    expect(pool.remove('self', 100)).to.equal(undefined);
    pool.releaseSublease('ferry', lent?.capacity ?? 0, 0, 200);
    expect(pool.remove('self', 200)?.get('ferry')).to.be.closeTo(4, 1e-9);
  });

  it('guards against returned tokens that exceed the capacity returned with them', () => {
    const pool = createPool();
    pool.add('self', { fraction: 1, expiresMs: Number.POSITIVE_INFINITY }, 0);
    pool.readLevel('ferry', 50);
    const lent = pool.grantSublease('ferry', 1, 500, 50);
    pool.releaseSublease('ferry', lent?.capacity ?? 0, 1_000, 50);
    expect(pool.readLevel('ferry', 50)).to.be.closeTo(4.95, 1e-9);
  });
});

function createPool(): TokenPool {
  const pool = new TokenPool();
  const rates = [{ name: 'ferry', rate: RATE, burst: BURST }];
  pool.configure(createBundle(rates, { maxVms: 2, shareLeaseMs: 1_000 }).workspaces, 0);
  return pool;
}
