import { expect } from 'chai';
import { experiment } from '../src/index.js';

const GOOD = `[experiment]
deployment = chain
vms-per-service = 2
seeds = 1, 2
warm-up = 500ms
before = 1s
surge = 2s
after = 3s
capacity = 10.5
[work]
default = 1ms
deep.read = 1.5s
[set workspace north]
rate = 3
[load a]
workspace = north
routes = deep.read, front.show
rate = 2.5
`;

describe('parseExperiment', () => {
  it('guards against a unit, a list or a name with a dot that is parsed incorrectly', () => {
    const parsed = experiment.parseExperiment(GOOD);
    expect(parsed.isOk && parsed.value.experiment).to.deep.include({
      seeds: [1, 2],
      'warm-up': 500,
      after: 3_000,
      capacity: 10.5,
    });
    expect(parsed.isOk && parsed.value.work).to.deep.equal({ default: 1, 'deep.read': 1_500 });
    expect(parsed.isOk && parsed.value.set).to.deep.equal({ 'workspace north': { rate: '3' } });
    expect(parsed.isOk && parsed.value.load.a).to.deep.include({
      routes: ['deep.read', 'front.show'],
      rate: 2.5,
      retries: 0,
    });
  });

  it('guards against a misspelled key or a missing unit that is accepted', () => {
    const misspelt = experiment.parseExperiment(GOOD.replace('capacity', 'capcity'));
    expect(misspelt.isErr && misspelt.error.join(' ')).to.include('capcity');
    const bare = experiment.parseExperiment(GOOD.replace('surge = 2s', 'surge = 2'));
    expect(bare.isErr && bare.error.join(' ')).to.include('a duration such as');
  });
});
