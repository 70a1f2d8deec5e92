import { expect } from 'chai';
import * as fc from 'fast-check';
import { FairQueue } from '../../../src/process/admission/index.js';
import { createItem } from './createItem.js';

function addMany(queue: FairQueue, workspace: string, count: number, fields: object = {}): void {
  Array.from({ length: count }).forEach((_, index) =>
    queue.add(createItem(`${workspace}${index}`, { workspace, ...fields })),
  );
}

function countTaken(queue: FairQueue, takes: number): Record<string, number> {
  const counts: Record<string, number> = {};
  for (let take = 0; take < takes; take++) {
    const item = queue.take(0);
    if (item !== undefined) {
      counts[item.workspace] = (counts[item.workspace] ?? 0) + item.cost;
    }
  }
  return counts;
}

describe('FairQueue', () => {
  it('guards against shares that depend on the number of calls instead of weight and cost', () => {
    const queue = new FairQueue();
    addMany(queue, 'loud', 300);
    addMany(queue, 'heavy', 100, { cost: 4 });
    addMany(queue, 'paying', 300, { weight: 2 });
    const counts = countTaken(queue, 130);
    expect(counts.paying / counts.loud).to.be.within(1.8, 2.2);
    expect(counts.heavy / counts.loud).to.be.within(0.8, 1.2);
  });

  it('guards against a workspace that accumulates credit while it is idle', () => {
    const queue = new FairQueue();
    addMany(queue, 'quiet', 1);
    countTaken(queue, 1);
    addMany(queue, 'loud', 300);
    countTaken(queue, 200);
    addMany(queue, 'quiet', 100);
    expect(countTaken(queue, 20).loud).to.be.at.least(9);
  });

  it('guards against drops from a workspace within its fair share', () => {
    const queue = new FairQueue();
    addMany(queue, 'paying', 30, { weight: 10 });
    addMany(queue, 'loud', 10);
    addMany(queue, 'quiet', 2);
    const dropped = Array.from({ length: 8 }, () => queue.dropOverShare(0)?.callId);
    expect(dropped.slice(0, 7)).to.deep.equal([9, 8, 7, 6, 5, 4, 3].map((n) => `loud${n}`));
  });

  it('guards against a wrong size or a lost call after removals', () => {
    const step = fc.record({
      kind: fc.constantFrom('add', 'add', 'take', 'drop', 'remove'),
      workspace: fc.constantFrom('a', 'b', 'c'),
      cost: fc.constantFrom(0.5, 1, 4),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const queue = new FairQueue();
        const present = new Set<string>();
        steps.forEach(({ kind, workspace, cost }, index) => {
          if (kind === 'add') {
            queue.add(createItem(`c${index}`, { workspace, cost }));
            present.add(`c${index}`);
          }
          const gone = {
            add: () => [],
            take: () => [queue.take(0)],
            drop: () => [queue.dropOverShare(0)],
            remove: () => queue.removeWhere((item) => item.workspace === workspace),
          }[kind]();
          gone.forEach((item) => {
            expect(item === undefined || present.delete(item.callId)).to.equal(true);
          });
          expect(queue.size).to.equal(present.size);
          expect(queue.computeCost() === 0).to.equal(present.size === 0);
        });
      }),
      { numRuns: 500, seed: 2 },
    );
  });

  it('guards against a standing queue in which every call misses its deadline', () => {
    const queue = new FairQueue('newest');
    [0, 10, 20].forEach((arrivedMs) => queue.add(createItem(`at${arrivedMs}`, { arrivedMs })));
    expect(queue.findNext(25)?.callId).to.equal('at0');
    expect(queue.findNext(40)?.callId).to.equal('at20');
    expect(queue.take(40)?.callId).to.equal('at20');
    expect(queue.dropOverShare(40)?.callId).to.equal('at0');
    expect(queue.take(41)?.callId).to.equal('at10');
  });
});
