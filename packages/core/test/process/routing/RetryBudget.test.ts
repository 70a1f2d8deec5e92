import { expect } from 'chai';
import { RetryBudget } from '../../../src/process/routing/index.js';

const EDGE = 'vitrina>boleteria';

function countRetries(ratio: RetryBudget, wanted: number, nowMs: number): number {
  return Array.from({ length: wanted }, () => ratio.tryTake(EDGE, nowMs)).filter(Boolean).length;
}

describe('RetryBudget', () => {
  it('guards against more retries than a tenth of the successes while most calls fail', () => {
    const ratio = new RetryBudget();
    let successes = 0;
    let retries = 0;
    for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
      if (nowMs % 20 === 0) {
        ratio.recordSuccess(EDGE, nowMs);
        successes += 1;
      }
      retries += countRetries(ratio, 3, nowMs);
    }
    const floor = 60 + 2;
    expect(retries).to.be.at.most(0.1 * successes + floor);
    expect(retries).to.be.at.least(0.09 * successes);
  });

  it('guards against an edge without successes that can never retry, or always can', () => {
    const ratio = new RetryBudget();
    const retries = Array.from({ length: 100 }, (_, second) =>
      countRetries(ratio, 50, second * 1000),
    );
    expect(retries[0]).to.equal(2);
    expect(Math.max(...retries.slice(1))).to.equal(1);
  });

  it('guards against old successes that still allow retries', () => {
    const ratio = new RetryBudget();
    Array.from({ length: 10_000 }).forEach(() => ratio.recordSuccess(EDGE, 0));
    expect(countRetries(ratio, 2000, 120_000)).to.be.at.most(3);
  });

  it('guards against edges that share their successes, and against a table that grows without limit', () => {
    const ratio = new RetryBudget();
    Array.from({ length: 1000 }).forEach(() => ratio.recordSuccess('other', 0));
    expect(countRetries(ratio, 100, 0)).to.equal(2);
    Array.from({ length: 9000 }).forEach((_, index) => ratio.recordSuccess(`edge${index}`, 1));
    expect(ratio.snapshot(1)).to.include({ edges: 4096 });
  });
});
