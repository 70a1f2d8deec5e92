import { expect } from 'chai';
import { language } from '../src/index.js';

const GOOD = `# A comment
deployment chain with 2 VMs per service in 3 failure domains
set [workspace north] rate = 20.5
work of deep.read takes 1.5 s   # a comment after a statement
start fleet
load main of north on front.show, front.book at 12.5 per second for 300 ms retrying 3 times through front-1, front-2 with an unknown key
kill backend server of deep-1
cut failure domain domain-1 from everything silently
VM list goes stale
crash request to deep.read of north 2 times
expect whole fraction of main >= 95%
expect refused not run of main in the last 2 s = 0 within 4 s
expect time until withdrawal of north holds < 5 s
`;

const BAD: readonly [reason: string, line: number, text: string][] = [
  ['no statement', 1, '# nothing\n'],
  [
    'column 12: expected end of input',
    2,
    'deployment chain with 2 VMs per service\nstart fleets\n',
  ],
  ['column 7: expected "s" or "ms"', 2, 'deployment chain with 2 VMs per service\nwait 5\n'],
  ['must be `deployment`', 1, 'start fleet\nexpect double runs = 0\n'],
  ['must be `expect`', 2, 'deployment chain with 2 VMs per service\nstart fleet\n'],
  [
    'before `start fleet`',
    3,
    'deployment c with 1 VMs per service\nstart fleet\nset [fleet] max-vms = 3\nexpect double runs = 0\n',
  ],
  [
    'after `start fleet`',
    2,
    'deployment c with 1 VMs per service\nheal all links\nstart fleet\nexpect double runs = 0\n',
  ],
  [
    'no load other',
    4,
    'deployment c with 1 VMs per service\nstart fleet\nload main of a on b at 1 per second for 1 s\nexpect whole of other > 1\n',
  ],
  [
    'two loads main',
    4,
    'deployment c with 1 VMs per service\nstart fleet\nload main of a on b at 1 per second for 1 s\nload main of a on b at 1 per second for 1 s\nexpect double runs = 0\n',
  ],
];

describe('parseScenario', () => {
  it('guards against a statement that is parsed incorrectly', () => {
    const parsed = language.parseScenario('good', GOOD).unwrapOr([]);
    expect(parsed.map(({ text, ...rest }) => rest)).to.deep.equal([
      { kind: 'deployment', name: 'chain', vmsPerService: 2, failureDomains: 3, line: 2 },
      { kind: 'set', section: 'workspace north', key: 'rate', value: '20.5', line: 3 },
      { kind: 'work', route: 'deep.read', durationMs: 1_500, line: 4 },
      { kind: 'startFleet', line: 5 },
      {
        kind: 'load',
        name: 'main',
        workspace: 'north',
        routes: ['front.show', 'front.book'],
        ratePerSecond: 12.5,
        durationMs: 300,
        options: [
          { kind: 'retrying', times: 3 },
          { kind: 'through', vms: ['front-1', 'front-2'] },
          { kind: 'unknownKey' },
        ],
        line: 6,
      },
      { kind: 'change', verb: 'kill', part: 'backend server of', vm: 'deep-1', line: 7 },
      {
        kind: 'cut',
        left: { kind: 'domain', name: 'domain-1' },
        right: { kind: 'everything' },
        manner: 'silently',
        line: 8,
      },
      { kind: 'platform', part: 'VM list', state: 'goes stale', line: 9 },
      { kind: 'crash', route: 'deep.read', workspace: 'north', times: 2, line: 10 },
      {
        kind: 'expect',
        measure: { kind: 'fraction', ending: 'whole', load: 'main' },
        comparison: '>=',
        value: 0.95,
        withinMs: 0,
        line: 11,
      },
      {
        kind: 'expect',
        measure: { kind: 'recent', ending: 'refusedNotRun', load: 'main', durationMs: 2_000 },
        comparison: '=',
        value: 0,
        withinMs: 4_000,
        line: 12,
      },
      {
        kind: 'expect',
        measure: { kind: 'withdrawal', workspace: 'north' },
        comparison: '<',
        value: 5_000,
        withinMs: 0,
        line: 13,
      },
    ]);
  });

  BAD.forEach(([reason, line, text]) => {
    it(`guards against an invalid scenario that is accepted or reported with a wrong line: ${reason} (${line})`, () => {
      const parsed = language.parseScenario('bad.scenario', text);
      expect(parsed.isErr, 'the scenario was accepted').to.equal(true);
      if (parsed.isErr) {
        expect(parsed.error).to.include({ file: 'bad.scenario', line });
        expect(parsed.error.message).to.match(/^bad\.scenario:\d+: /);
        expect(parsed.error.reason).to.include(reason);
      }
    });
  });
});
