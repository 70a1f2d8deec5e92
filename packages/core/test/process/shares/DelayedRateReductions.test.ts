import { expect } from 'chai';
import type { Workspace } from '@tanagerpond/bundle';
import { DelayedRateReductions } from '../../../src/process/shares/DelayedRateReductions.js';

const DELAY_MS = 1_500;

describe('DelayedRateReductions', () => {
  it('guards against a lower rate that becomes active before the delay ends, or never', () => {
    const rates = new DelayedRateReductions(DELAY_MS);
    rates.apply(createRates(100), 0);
    expect(readLimits(rates.apply(createRates(10), 1_000))).to.deep.equal([100, 200]);
    expect(rates.advance(2_499)).to.equal(undefined);
    expect(readLimits(rates.advance(2_500))).to.deep.equal([10, 20]);
    expect(rates.advance(9_000)).to.equal(undefined);
  });

  it('guards against a series of bundles that keeps the earlier rate active forever', () => {
    const rates = new DelayedRateReductions(DELAY_MS);
    rates.apply(createRates(100), 0);
    [1_000, 1_500, 2_000].forEach((nowMs, index) => rates.apply(createRates(50 - index), nowMs));
    expect(readLimits(rates.advance(2_500))).to.deep.equal([48, 96]);
  });

  it('guards against a delay for a workspace that is raised, new or removed', () => {
    const rates = new DelayedRateReductions(DELAY_MS);
    expect(readLimits(rates.apply(createRates(10), 0))).to.deep.equal([10, 20]);
    expect(readLimits(rates.apply(createRates(100), 1))).to.deep.equal([100, 200]);
    expect([...rates.apply(new Map(), 2)]).to.deep.equal([]);
    rates.apply(createRates(100), 3);
    rates.apply(createRates(10), 4);
    expect(readLimits(rates.apply(createRates(120), 5))).to.deep.equal([120, 240]);
    expect(rates.advance(9_000)).to.equal(undefined);
  });

  it('guards against a delay although none is configured', () => {
    const rates = new DelayedRateReductions(0);
    rates.apply(createRates(100), 0);
    expect(readLimits(rates.apply(createRates(10), 1))).to.deep.equal([10, 20]);
  });
});

function createRates(rate: number): ReadonlyMap<string, Workspace> {
  const workspace = {
    name: 'ferry',
    rate,
    burst: 2 * rate,
    weight: 1,
    keyDigests: [],
    open: false,
  };
  return new Map([['ferry', workspace]]);
}

function readLimits(rates: ReadonlyMap<string, Workspace> | undefined): readonly number[] {
  const { rate = 0, burst = 0 } = rates?.get('ferry') ?? {};
  return [rate, burst];
}
