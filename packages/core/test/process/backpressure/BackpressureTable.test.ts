import { expect } from 'chai';
import * as fc from 'fast-check';
import { BackpressureTable } from '../../../src/process/backpressure/index.js';
import { createRandom } from '../../../bench/createRandom.js';

const SERVICE = 'boleteria';

function createTable(): BackpressureTable {
  return new BackpressureTable({ random: createRandom(3) });
}

function measureAdmitted(
  table: BackpressureTable,
  priority: number,
  nowMs: number,
  workspace?: string,
): number {
  const tries = Array.from({ length: 2000 }, () =>
    table.decide([SERVICE], priority, nowMs, workspace),
  );
  return tries.filter((decision) => decision.admitted).length / tries.length;
}

function recordOften(table: BackpressureTable, level: object): void {
  const full = { service: SERVICE, lowestClass: 3, fraction: 1, ...level };
  Array.from({ length: 40 }).forEach((_, index) => table.record([full], index));
}

describe('BackpressureTable', () => {
  it('guards against shedding of the wrong class or fraction', () => {
    const table = createTable();
    recordOften(table, { lowestClass: 2, fraction: 0.3 });
    expect(measureAdmitted(table, 1, 40)).to.equal(1);
    expect(measureAdmitted(table, 2, 40)).to.be.within(0.26, 0.34);
    expect(measureAdmitted(table, 3, 40)).to.equal(0);
    const refused = table.decide([SERVICE], 3, 40);
    expect(refused).to.include({ admitted: false, service: SERVICE });
  });

  it('guards against shedding of workspaces within their fair share', () => {
    const table = createTable();
    recordOften(table, { lowestClass: 2, workspaces: [{ workspace: 'loud', fraction: 0.1 }] });
    expect(measureAdmitted(table, 2, 40, 'loud')).to.be.within(0.07, 0.13);
    expect(measureAdmitted(table, 2, 40, 'quiet')).to.be.at.least(0.99);
    expect(table.list(40)[0].workspaces?.[0]).to.deep.include({ workspace: 'loud' });
  });

  it('guards against one overloaded VM that makes callers shed calls that the other VMs would run', () => {
    const table = createTable();
    Array.from({ length: 200 }).forEach((_, index) => {
      const level =
        index % 4 === 3 ? { lowestClass: 1, fraction: 0.5 } : { lowestClass: 3, fraction: 1 };
      table.record([{ service: SERVICE, ...level }], index);
    });
    expect(measureAdmitted(table, 2, 200)).to.equal(1);
    expect(measureAdmitted(table, 3, 200)).to.be.at.least(0.5);
  });

  it('guards against a level that stays forever when no call is sent that could report a new one', () => {
    const table = createTable();
    recordOften(table, { lowestClass: 0, fraction: 0 });
    expect(measureAdmitted(table, 0, 40)).to.be.greaterThan(0);
    expect(measureAdmitted(table, 3, 40)).to.equal(0);
    expect(measureAdmitted(table, 3, 5100)).to.equal(1);
    expect(table.list(5100)).to.deep.equal([]);
  });

  it('guards against a class 0 call that is shed while lower classes are admitted', () => {
    const level = fc.record({
      service: fc.constant(SERVICE),
      lowestClass: fc.integer({ min: 0, max: 3 }),
      fraction: fc.double({ min: 0, max: 1, noNaN: true }),
      workspaces: fc.array(
        fc.record({
          workspace: fc.constantFrom('a', 'b'),
          fraction: fc.double({ min: 0, max: 1, noNaN: true }),
        }),
        { maxLength: 2 },
      ),
    });
    fc.assert(
      fc.property(fc.array(level, { minLength: 1, maxLength: 10 }), fc.nat(3000), (levels, gap) => {
        const never = { next: () => 0.999_999 };
        const table = new BackpressureTable({ random: never });
        levels.forEach((value, index) => table.record([value], index));
        const nowMs = levels.length + gap;
        const always = { next: () => 0.02 };
        const lenient = new BackpressureTable({ random: always });
        levels.forEach((value, index) => lenient.record([value], index));
        const isShed = !table.decide([SERVICE], 0, nowMs, 'a').admitted;
        const isLowerAdmitted = ['a', 'b', 'c'].some(
          (workspace) => lenient.decide([SERVICE], 1, nowMs, workspace).admitted,
        );
        expect(isShed && isLowerAdmitted).to.equal(false);
      }),
      { numRuns: 2000, seed: 5 },
    );
  });

  it('guards against a table that grows with the number of services', () => {
    const table = createTable();
    Array.from({ length: 6000 }).forEach((_, index) =>
      table.record([{ service: `s${index}`, lowestClass: 1, fraction: 0.5 }], 0),
    );
    expect(table.list(0)).to.have.lengthOf(4096);
    expect(JSON.stringify(table.snapshot(0)).length).to.be.lessThan(10_000);
  });
});
