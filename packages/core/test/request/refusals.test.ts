import { expect } from 'chai';
import { createRefusal, REFUSALS } from '../../src/request/index.js';

describe('refusals', () => {
  it('guards against a refusal with the outcome "notRun" and a status that implies a run', () => {
    const statuses = Object.values(REFUSALS)
      .filter((rule) => rule.outcome === 'notRun')
      .map((rule) => rule.status);
    expect(statuses).to.not.include(502);
    expect(statuses).to.not.include(409);
  });

  it('guards against a refusal that has neither the outcome of its reason nor the given one', () => {
    expect(createRefusal('linkLost').outcome).to.equal('unknown');
    expect(createRefusal('linkLost', { outcome: 'notRun' }).outcome).to.equal('notRun');
  });
});
