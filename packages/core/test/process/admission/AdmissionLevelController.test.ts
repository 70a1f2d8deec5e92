import { expect } from 'chai';
import { AdmissionLevelController } from '../../../src/process/admission/index.js';
import { createItem } from './createItem.js';

/** Records arrivals from 20 workspaces, some of them served, for a number of windows of 100 ms. */
function runWindows(
  level: AdmissionLevelController,
  windows: number,
  offered: number,
  served: number,
): void {
  const start = windows * 1000;
  for (let window = 0; window < windows; window++) {
    const nowMs = start + window * 100;
    for (let call = 0; call < offered; call++) {
      level.recordArrival(createItem(`c${call}`, { workspace: `w${call % 20}` }), nowMs);
    }
    for (let call = 0; call < served; call++) {
      level.recordServed(1, nowMs);
    }
    level.advance(nowMs + 100, offered > served);
  }
}

describe('AdmissionLevelController', () => {
  it('guards against a level message that grows with the number of workspaces', () => {
    const level = new AdmissionLevelController();
    runWindows(level, 10, 400, 100);
    const { lowestClass, fraction, workspaces } = level.read();
    expect(workspaces).to.have.lengthOf(8);
    expect(lowestClass).to.equal(2);
    expect(fraction).to.be.lessThan(0.5);
  });

  it('guards against a level that stays low after the overload has ended', () => {
    const level = new AdmissionLevelController();
    runWindows(level, 10, 400, 100);
    runWindows(level, 50, 100, 100);
    expect(level.read()).to.deep.equal({ lowestClass: 3, fraction: 1, workspaces: [] });
  });
});
