import { expect } from 'chai';
import { Trees } from '../../../src/process/trees/index.js';
import { SeededSource } from '../../support/SeededSource.js';
import { TreeLoad, type TreeOutcome } from './TreeLoad.js';

/** Leaf calls of one browsing request and of one booking, as the load plays them. */
const LEAF_CALLS = { browse: 8, book: 4 };

/** Leaf calls of served trees over what the leaf can carry in the counted time. */
function computeGoodput({ browse, book }: TreeOutcome, lengthMs: number): number {
  const served = LEAF_CALLS.browse * browse.served + LEAF_CALLS.book * book.served;
  return served / ((4 * 23 * lengthMs * 0.8) / 30);
}

function play(demand: number, admits: boolean): TreeOutcome {
  return new TreeLoad({ demand, admits, lengthMs: 30_000, seed: 11 }).play();
}

describe('admission of whole call trees', () => {
  it('guards against requests that are refused while every service has room', () => {
    const { browse, book } = play(0.7, true);
    expect(browse.refused / browse.asked).to.be.below(0.01);
    expect(book.refused / book.asked).to.be.below(0.01);
  });

  it('guards against a collapse in which trees are begun that the leaf cannot finish', () => {
    const lost = computeGoodput(play(2, false), 30_000);
    const kept = computeGoodput(play(2, true), 30_000);
    expect(lost).to.be.below(0.3);
    expect(kept).to.be.above(0.8);
  });

  it('guards against bookings that are shed while browsing is admitted', () => {
    [1.5, 2, 3].forEach((demand) => {
      const { browse, book } = play(demand, true);
      expect(book.served / book.asked, `demand ${demand}`).to.be.above(0.95);
      expect(browse.refused, `demand ${demand}`).to.be.above(0);
    });
  });

  it('guards against trees that are begun although a service rejects half of its calls', () => {
    const trees = new Trees('entry', new SeededSource(5));
    const load = { inFlight: 5, queued: 0, limit: 23 };
    const demands = [{ service: 'leaf', calls: 8, utilization: 0.2 }];
    let admitted = 0;
    for (let nowMs = 0; nowMs < 4_000; nowMs += 10) {
      trees.recordAnswer('browse', 'leaf', demands, nowMs);
      trees.recordRefusal('leaf', load, true, nowMs + 5);
      const decision = trees.admission.decide('browse', 3, nowMs);
      admitted += Number(nowMs > 3_000 && decision.admitted);
    }
    expect(admitted).to.be.below(10);
  });
});
