import { expect } from 'chai';
import { createRefusal, REFUSALS } from '../../src/request/index.js';

describe('refusals', () => {
  it('guards against a refusal that says "not run" with a status of a run request', () => {
    const statuses = Object.values(REFUSALS)
      .filter((rule) => rule.outcome === 'notRun')
      .map((rule) => rule.status);
    expect(statuses).to.not.include(502);
    expect(statuses).to.not.include(409);
  });

  it('guards against a refusal that loses the outcome of its reason', () => {
    expect(createRefusal('linkLost').outcome).to.equal('unknown');
    expect(createRefusal('linkLost', { outcome: 'notRun' }).outcome).to.equal('notRun');
  });
});
