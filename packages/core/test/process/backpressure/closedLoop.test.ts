import { expect } from 'chai';
import { createScenario } from '../../../bench/createScenario.js';
import type { SURGES } from '../../../bench/createScenario.js';
import { measureLoop } from '../../../bench/measureLoop.js';
import type { LoopFigures } from '../../../bench/measureLoop.js';

const SEED = 11;
const DURATIONS_MS = [2000, 5000, 6000] as const;

function measure(
  name: keyof typeof SURGES,
  isProtected: boolean,
  longestDelayMs: number,
): LoopFigures {
  return measureLoop(
    createScenario(name, { seed: SEED, isProtected, longestDelayMs }, [...DURATIONS_MS]),
  );
}

describe('closed loop of callers, backpressure table and admission queue', function closedLoop() {
  this.timeout(60_000);

  it('guards against requests that are refused without overload', () => {
    const figures = measure('none', true, 15);
    expect(Math.min(...figures.servedByWorkspace)).to.be.at.least(0.99);
  });

  it('guards against a scenario that is so easy that unlimited retries without admission control pass it', () => {
    const figures = measure('triple', false, 15);
    expect(figures.goodput).to.be.lessThan(0.3);
    expect(figures.recoveryMs).to.equal(Infinity);
  });

  [1.5, 15, 50].forEach((delayMs) => {
    it(`guards against lost goodput and slow recovery at 3 times the capacity with ${2 * delayMs} ms of feedback delay`, () => {
      const figures = measure('triple', true, delayMs);
      expect(figures.goodput).to.be.at.least(0.9);
      expect(figures.lowestGoodput, 'oscillation').to.be.at.least(0.85);
      expect(figures.recoveryMs).to.be.at.most(5000);
      expect(figures.servedByClass[0]).to.be.at.least(0.99);
      expect(figures.arrivals).to.be.at.most(2);
    });
  });

  it('guards against quiet workspaces that lose calls because of a loud one', () => {
    [1.5, 50].forEach((delayMs) => {
      const figures = measure('loud', true, delayMs);
      expect(Math.min(...figures.servedByWorkspace.slice(1))).to.be.at.least(0.95);
      expect(figures.goodput).to.be.at.least(0.9);
    });
  });

  it('guards against a concurrency limit that collapses while the service is 5 times slower', () => {
    const figures = measure('slow', true, 15);
    expect(figures.goodput).to.be.at.least(0.8);
    expect(figures.recoveryMs).to.be.at.most(5000);
    expect(figures.servedByClass[0]).to.be.at.least(0.95);
  });
});
