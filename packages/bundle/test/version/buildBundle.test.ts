import { expect } from 'chai';
import { buildBundle, matchRoute, type BundleProblem, type SectionTexts } from '../../src/index.js';
import { replaceIn, SAMPLE, SAMPLE_DIGEST } from '../sampleSections.js';

describe('buildBundle', () => {
  it('guards against values that are parsed in the wrong unit or assigned to the wrong field', () => {
    const bundle = buildBundle(7, 'd', SAMPLE).unwrapOrElse(() => expect.fail('refused'));
    expect(bundle.fleet).to.include({ maxVms: 40, shareLeaseMs: 3_000, ticketLifeMs: 300_000 });
    expect(bundle.workspaces.get('visitors')).to.include({ rate: 50.5, open: true, weight: 1 });
    expect(bundle.routes.get('shop.order')).to.deep.include({
      service: 'shop',
      maxBody: 16_384,
      calls: ['stock.read', 'stock.take'],
    });
    expect(bundle.workspaceByKeyDigest.get(SAMPLE_DIGEST)).to.equal('north');
    expect(bundle.openWorkspace).to.equal('visitors');
  });

  const faults: readonly [guard: string, texts: SectionTexts, problem: Partial<BundleProblem>][] = [
    [
      'a duration without a unit',
      replaceIn('fleet.ini', '3s', '3'),
      { file: 'fleet.ini', section: 'fleet', key: 'share-lease', line: 3 },
    ],
    [
      'a misspelled key',
      replaceIn('services.ini', 'queue = 20', 'queued = 20'),
      { section: 'service stock', key: 'queued', line: 9 },
    ],
    [
      'a missing key',
      replaceIn('services.ini', 'queue = 20', ''),
      { section: 'service stock', key: 'queue', line: 6 },
    ],
    [
      'a key that is given twice',
      replaceIn('services.ini', 'queue = 20', 'slots = 20'),
      { key: 'slots', line: 9, expected: 'each key only once in a section' },
    ],
    [
      'a section that is given twice',
      replaceIn('services.ini', 'service stock', 'service shop'),
      { section: 'service shop', line: 6 },
    ],
    [
      'an unknown section',
      replaceIn('services.ini', 'service stock', 'servise stock'),
      { section: 'servise stock', line: 6 },
    ],
    [
      'a section name that collides with a property of every object',
      replaceIn('workspaces.ini', 'north', '__proto__'),
      { section: 'workspace __proto__' },
    ],
    [
      'a number out of range',
      replaceIn('routes.ini', 'priority = 0', 'priority = 4'),
      { section: 'route shop.order', key: 'priority', line: 12 },
    ],
    [
      'a line without a key and a value',
      replaceIn('fleet.ini', 'max-vms = 40', 'max-vms'),
      { line: 2 },
    ],
    ['a key before any section', replaceIn('fleet.ini', '[fleet]', ''), { line: 2 }],
    [
      'an empty item in a list',
      replaceIn('routes.ini', 'stock.read, stock.take', 'stock.read,, stock.take'),
      { key: 'calls', line: 14 },
    ],
    [
      'a call of an unknown route',
      replaceIn('routes.ini', 'stock.read, stock.take', 'stock.red'),
      { key: 'calls', section: 'route shop.order' },
    ],
    [
      'a route of an unknown service',
      replaceIn('routes.ini', 'route stock.take', 'route store.take'),
      {},
    ],
    [
      'a cycle of calls',
      replaceIn(
        'routes.ini',
        '/state\nrepeatable = yes',
        '/state\nrepeatable = yes\ncalls = shop.browse',
      ),
      { key: 'calls', section: 'route shop.browse' },
    ],
    [
      'a call chain that is deeper than max-depth',
      replaceIn('fleet.ini', 'max-depth = 4', 'max-depth = 1'),
      { key: 'calls' },
    ],
    [
      'a repeatable route that calls a non-repeatable one, which a retry would run twice',
      replaceIn('routes.ini', 'calls = stock.read\n', 'calls = stock.take\n'),
      { key: 'calls', section: 'route shop.browse' },
    ],
    [
      'a key digest that is listed in two workspaces',
      replaceIn('workspaces.ini', 'open = yes', `open = yes\nkey-digests = ${SAMPLE_DIGEST}`),
      { key: 'key-digests', section: 'workspace visitors' },
    ],
    [
      'two open workspaces',
      replaceIn('workspaces.ini', 'burst = 200', 'burst = 200\nopen = yes'),
      { key: 'open', section: 'workspace visitors' },
    ],
    [
      'an open route without an open workspace',
      replaceIn('workspaces.ini', 'open = yes', ''),
      { key: 'open', section: 'route shop.browse' },
    ],
    [
      'two routes that match the same path',
      replaceIn('routes.ini', 'POST\npath = /orders', 'GET\npath = /walks/new'),
      { key: 'path', section: 'route shop.order' },
    ],
    [
      'a path with a dot segment',
      replaceIn('routes.ini', 'path = /orders', 'path = /../orders'),
      { key: 'path', section: 'route shop.order' },
    ],
    [
      'a default deadline that is longer than max-deadline',
      replaceIn('fleet.ini', 'share-lease = 3s', 'default-deadline = 31s'),
      { key: 'default-deadline' },
    ],
  ];
  faults.forEach(([guard, texts, problem]) => {
    it(`guards against a bundle that is accepted with ${guard}`, () => {
      const error = buildBundle(1, 'd', texts).match({
        Ok: () => expect.fail('accepted'),
        Err: (found) => found,
      });
      const problems = error.kind === 'sectionsInvalid' ? error.problems : [];
      expect(problems[0]).to.deep.include(problem);
    });
  });

  it('guards against a repeatable route that calls a non-repeatable one indirectly, which a retry would run twice', () => {
    const routes = SAMPLE['routes.ini']
      .replace('/state\nrepeatable = yes', '/state\nrepeatable = yes\ncalls = stock.take')
      .replace('calls = stock.read, stock.take', '');
    const result = buildBundle(1, 'd', { ...SAMPLE, 'routes.ini': routes });
    const error =
      result.isErr && result.error.kind === 'sectionsInvalid' ? result.error : undefined;
    expect(error?.problems.map(({ section }) => section)).to.deep.equal([
      'route shop.browse',
      'route stock.read',
    ]);
  });

  it('guards against a stale cache entry that hides the change of a section file', () => {
    const changes: readonly [file: keyof SectionTexts, from: string, to: string][] = [
      ['fleet.ini', 'max-vms = 40', 'max-vms = 41'],
      ['workspaces.ini', 'rate = 100', 'rate = 101'],
      ['services.ini', 'slots = 80', 'slots = 81'],
      ['routes.ini', '/walks/:id', '/hikes/:id'],
    ];
    const built = changes.map(([file, from, to]) => {
      buildBundle(1, 'd', SAMPLE).unwrapOrElse(() => expect.fail('refused'));
      const next = buildBundle(2, 'e', replaceIn(file, from, to));
      return next.unwrapOrElse(() => expect.fail('refused'));
    });
    expect(built.map(({ fleet }) => fleet.maxVms)).to.deep.equal([41, 40, 40, 40]);
    const rates = built.map(({ workspaces }) => workspaces.get('north')?.rate);
    expect(rates).to.deep.equal([100, 101, 100, 100]);
    const slots = built.map(({ services }) => services.get('shop')?.slots);
    expect(slots).to.deep.equal([80, 80, 81, 80]);
    const moved = built.map((next) => matchRoute(next, 'GET', '/shop/hikes/1') !== undefined);
    expect(moved).to.deep.equal([false, false, false, true]);
  });

  it('guards against a change of one file that makes a cached, unchanged file invalid and is accepted', () => {
    const broken = [
      replaceIn('fleet.ini', 'max-depth = 4', 'max-depth = 1'),
      replaceIn('services.ini', 'service stock', 'service stocks'),
      replaceIn('workspaces.ini', 'open = yes', ''),
    ].map((texts) => {
      buildBundle(1, 'd', SAMPLE).unwrapOrElse(() => expect.fail('refused'));
      return buildBundle(2, 'e', texts).isErr;
    });
    expect(broken).to.deep.equal([true, true, true]);
  });

  it('guards against a caller key that appears in an error message after it was entered instead of its digest', () => {
    const key = `tpk_${'x'.repeat(43)}`;
    const result = buildBundle(1, 'd', replaceIn('workspaces.ini', SAMPLE_DIGEST, key));
    expect(result.isErr).to.equal(true);
    expect(JSON.stringify(result)).to.not.include(key);
  });
});
