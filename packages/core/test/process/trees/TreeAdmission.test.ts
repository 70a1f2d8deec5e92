import { expect } from 'chai';
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
});
