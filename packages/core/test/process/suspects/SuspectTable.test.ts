import { expect } from 'chai';
import {
  InterruptedRuns,
  COUNTING_POLICY,
  SuspectTable,
} from '../../../src/process/suspects/index.js';

const BLOCK_MS = 600_000;

function createTable(): SuspectTable {
  return new SuspectTable({ blockMs: BLOCK_MS });
}

/**
 * Sends a poison request repeatedly, at first beside harmless ones, and counts the VMs that it crashes. A crash report
 * reaches the other VMs after `reportAttempts` further attempts.
 */
function countLostVms(reportAttempts: number): { lost: number; innocents: string[] } {
  const table = createTable();
  const reports: { dueAttempt: number; fingerprints: string[]; vm: string }[] = [];
  const innocents = ['seat1', 'seat2', 'seat3'];
  let lost = 0;
  for (let attempt = 0; attempt < 100; attempt++) {
    const nowMs = 50 * attempt;
    reports
      .filter(({ dueAttempt }) => dueAttempt === attempt)
      .forEach(({ fingerprints, vm }) => table.recordCrash(fingerprints, nowMs, vm));
    innocents
      .filter((name) => table.findState(name, nowMs) === 'suspect')
      .forEach((name) => table.recordSurvived(name, nowMs));
    const state = table.findState('poison', nowMs);
    if (state !== 'blocked') {
      const beside = state === 'suspect' || attempt > 0 ? [] : innocents;
      reports.push({
        dueAttempt: attempt + reportAttempts,
        fingerprints: ['poison', ...beside],
        vm: `vm${attempt}`,
      });
      lost += 1;
    }
  }
  return { lost, innocents: innocents.map((name) => table.findState(name, 5000)) };
}

describe('SuspectTable', () => {
  it('guards against a poison request that crashes more VMs than 2 and those lost before the first report', () => {
    expect(countLostVms(1)).to.deep.equal({ lost: 2, innocents: ['clear', 'clear', 'clear'] });
    expect(countLostVms(4).lost).to.equal(5);
  });

  it('guards against a block that ends early, ends because the request survives a run, or never ends', () => {
    const table = createTable();
    table.recordCrash(['poison'], 0);
    expect(table.findState('poison', 1)).to.equal('suspect');
    table.recordCrash(['poison'], 400);
    table.recordSurvived('poison', 420);
    expect(table.findState('poison', 399 + BLOCK_MS)).to.equal('blocked');
    expect(table.findState('poison', 400 + BLOCK_MS)).to.equal('clear');
  });

  it('guards against a single crash that blocks because equal calls were in flight or it was reported twice', () => {
    const table = createTable();
    table.recordCrash(['seat', 'seat'], 0, 'vm1');
    table.recordCrash(['seat'], 20, 'vm1');
    expect(table.findState('seat', 20)).to.equal('suspect');
    table.recordCrash(['seat'], 40, 'vm2');
    expect(table.findState('seat', 40)).to.equal('blocked');
  });

  it('guards against many suspects that evict a blocked fingerprint from the table', () => {
    const table = createTable();
    table.recordCrash(['poison'], 0, 'vm1');
    table.recordCrash(['poison'], 1, 'vm2');
    const names = Array.from({ length: 9000 }, (_, index) => `seat${index}`);
    names.forEach((name) => table.recordCrash([name], 2));
    expect(table.findState('poison', 3)).to.equal('blocked');
    expect(table.findState('seat0', 3)).to.equal('clear');
    expect(table.findState('seat8999', 3)).to.equal('suspect');
    expect(table.snapshot(3)).to.include({ suspects: 4095, blocked: 1 });
    expect(JSON.stringify(table.snapshot(3)).length).to.be.lessThan(10_000);
  });

  it('guards against requests that the counting policy blocks because of two crashes caused by others', () => {
    const table = new SuspectTable({ blockMs: BLOCK_MS, policy: COUNTING_POLICY });
    table.recordCrash(['poison', 'innocent'], 0, 'vm1');
    table.recordCrash(['poison', 'innocent'], 1_000, 'vm2');
    expect(table.findState('innocent', 1_001)).to.equal('suspect');
    table.recordCrash(['poison'], 2_000, 'vm3');
    expect(table.findState('poison', 2_001)).to.equal('blocked');
    expect(table.findState('innocent', 2_001)).to.equal('suspect');
  });
});

describe('InterruptedRuns', () => {
  it('guards against an interrupted run that counts as a crash too late or twice', () => {
    const broken = new InterruptedRuns();
    broken.add('early', 0);
    broken.add('late', 1_500);
    expect(broken.take(1_800)).to.deep.equal(['late']);
    expect(broken.take(1_801)).to.deep.equal([]);
  });
});
