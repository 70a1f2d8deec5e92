import { expect } from 'chai';
import { CallTrees } from '../../../src/process/trees/index.js';
import { SeededSource } from '../../support/SeededSource.js';
import { TreeLoad, type TreeOutcome } from './TreeLoad.js';

/** Leaf calls of one browse request and of one book request in the simulated load. */
const LEAF_CALLS = { browse: 8, book: 4 };

/** Computes the leaf calls of served trees as a fraction of the capacity of the leaf in the counted time. */
function computeGoodput({ browse, book }: TreeOutcome, lengthMs: number): number {
  const served = LEAF_CALLS.browse * browse.served + LEAF_CALLS.book * book.served;
  return served / ((4 * 23 * lengthMs * 0.8) / 30);
}

const LENGTH_MS = 30_000;

const SEEDS = [11, 12, 13];

/** Loads as multiples of the capacity of the leaf. */
const DEMANDS = [1, 1.5, 2, 3, 5];

function runLoad(demand: number, seed: number): TreeOutcome {
  return new TreeLoad({ demand, admits: true, order: 'newest', lengthMs: LENGTH_MS, seed }).run();
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

describe('admission of whole call trees', () => {
  it('guards against requests that are refused while every service has spare capacity', () => {
    const { browse, book } = runLoad(0.7, 11);
    expect(browse.refused / browse.requested).to.be.below(0.01);
    expect(book.refused / book.requested).to.be.below(0.01);
  });

  it('guards against a goodput collapse because trees begin that the leaf cannot finish', () => {
    const options = { demand: 2, admits: false, lengthMs: LENGTH_MS, seed: 11 } as const;
    const collapsed = new TreeLoad({ ...options, order: 'arrival' }).run();
    expect(computeGoodput(collapsed, LENGTH_MS)).to.be.below(0.3);
    DEMANDS.forEach((demand) => {
      const goodput = SEEDS.map((seed) => computeGoodput(runLoad(demand, seed), LENGTH_MS));
      expect(computeMean(goodput), `demand ${demand}`).to.be.at.least(0.9);
    });
  });

  it('guards against class 2 requests that are shed or late while class 3 requests are admitted', () => {
    DEMANDS.forEach((demand) => {
      const served = SEEDS.map((seed) => {
        const { book } = runLoad(demand, seed);
        return book.served / book.requested;
      });
      expect(computeMean(served), `demand ${demand}`).to.be.at.least(0.98);
    });
  });

  it('guards against trees that begin although a service rejects half of its calls', () => {
    const trees = new CallTrees('entry', new SeededSource(5));
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

  it('guards against requests that are still shed after an overload, at a load within the capacity of every service', () => {
    const served = SEEDS.map((seed) => {
      const { browse, book } = new TreeLoad({
        demand: 0.9,
        admits: true,
        order: 'newest',
        lengthMs: 20_000,
        seed,
        start: { untilMs: 10_000, demand: 1.7, rejected: 0.55 },
        countFromMs: 13_000,
      }).run();
      return (browse.served + book.served) / (browse.requested + book.requested);
    });
    expect(computeMean(served)).to.be.at.least(0.9);
  });

  it('guards against old rejections that still count because the node makes no further calls to the service', () => {
    const trees = new CallTrees('entry', new SeededSource(5));
    const demands = [{ service: 'leaf', calls: 8, utilization: 0.7 }];
    let admitted = 0;
    for (let nowMs = 0; nowMs < 6_000; nowMs += 10) {
      trees.recordAnswer('browse', 'middle', demands, nowMs);
      if (nowMs < 1_000) {
        trees.recordRefusal('leaf', undefined, true, nowMs);
      }
      const decision = trees.admission.decide('browse', 3, nowMs);
      admitted += Number(nowMs >= 5_000 && decision.admitted);
    }
    expect(admitted).to.equal(100);
  });

  it('guards against requests that are shed long after a service has recovered', () => {
    const trees = new CallTrees('entry', new SeededSource(5));
    const report = (utilization: number, nowMs: number): void =>
      trees.recordAnswer('browse', 'entry', [{ service: 'leaf', calls: 8, utilization }], nowMs);
    const countAdmitted = (fromMs: number, toMs: number, utilization: number): number => {
      let admitted = 0;
      for (let nowMs = fromMs; nowMs < toMs; nowMs += 10) {
        report(utilization, nowMs);
        admitted += Number(trees.admission.decide('browse', 3, nowMs).admitted);
      }
      return admitted;
    };
    expect(countAdmitted(0, 10_000, 4)).to.be.below(250);
    const [shed] = trees.admission.takeChanges(10_000);
    expect(shed).to.deep.include({ service: 'leaf', rejected: 0 });
    expect(shed.level).to.be.within(2.5, 3);
    expect(shed.utilization).to.be.closeTo(4, 0.01);
    expect(trees.admission.takeChanges(10_500)).to.deep.equal([]);
    countAdmitted(10_000, 13_000, 0.1);
    expect(countAdmitted(13_000, 14_000, 0.1)).to.equal(100);
  });
});
