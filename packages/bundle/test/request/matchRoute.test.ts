import { expect } from 'chai';
import * as fc from 'fast-check';
import {
  buildBundle,
  createKey,
  digestKey,
  findTargetFault,
  isKey,
  KEY_PATTERN,
  matchRoute,
} from '../../src/index.js';
import { SAMPLE } from '../sampleSections.js';

const BUNDLE = buildBundle(1, 'd', SAMPLE).unwrapOrElse(() => expect.fail('refused'));

describe('matchRoute', () => {
  it('guards against a backend target that contains the service segment or lacks the query', () => {
    const match = matchRoute(BUNDLE, 'GET', '/shop/walks/4%20a?day=2&x=%2F..');
    expect(match?.route.name).to.equal('shop.browse');
    expect(match?.service.slots).to.equal(80);
    expect(match?.backendTarget).to.equal('/walks/4%20a?day=2&x=%2F..');
  });

  it('guards against a match with a route of another method, service or path length, or a missed match of an encoded path', () => {
    expect(matchRoute(BUNDLE, 'GET', '/stock/items/4/state')?.route.name).to.equal('stock.read');
    expect(matchRoute(BUNDLE, 'POST', '/shop/%6frders')?.route.name).to.equal('shop.order');
    ['/shop/orders/', '/shop/walks/', '/shop/walks', '/shop', '/', '/stock/walks/4'].forEach(
      (target) => expect(matchRoute(BUNDLE, 'GET', target), target).to.equal(undefined),
    );
    expect(matchRoute(BUNDLE, 'DELETE', '/shop/orders')).to.equal(undefined);
  });

  const faults: readonly (readonly [target: string, fault: string])[] = [
    ['/shop/walks/..', 'dotSegment'],
    ['/shop/./walks/1', 'dotSegment'],
    ['/shop/walks/%2e%2E', 'dotSegment'],
    ['/shop/walks/a%2Fb', 'encodedSeparator'],
    ['/shop/walks/a%5cb', 'encodedSeparator'],
    ['/shop/walks/%252e', 'doubleEncoding'],
    ['/shop//walks/1', 'emptySegment'],
    ['//shop/walks/1', 'emptySegment'],
    ['/shop/walks/%', 'malformedEncoding'],
    ['/shop/walks/%ff', 'malformedEncoding'],
    ['/shop/walks/a\\b', 'forbiddenCharacter'],
    ['/shop/walks/%00', 'forbiddenCharacter'],
    ['/shop/walks/1#x', 'forbiddenCharacter'],
    ['http://shop/walks/1', 'notAbsolutePath'],
    [`/shop/walks/${'a'.repeat(9_000)}`, 'tooLong'],
  ];
  faults.forEach(([target, fault]) => {
    it(`guards against an ambiguous target that is routed instead of refused: ${target.slice(0, 30)}`, () => {
      expect(findTargetFault(target)).to.equal(fault);
      expect(matchRoute(BUNDLE, 'GET', target)).to.equal(undefined);
    });
  });

  it('guards against a target that makes the lookup throw or gives a backend target with a dot segment', () => {
    const piece = fc.constantFrom(
      '/',
      '.',
      '%',
      '2e',
      '2F',
      'shop',
      'walks',
      '?',
      'a',
      '\\',
      ':id',
    );
    fc.assert(
      fc.property(fc.array(piece, { maxLength: 12 }), (pieces) => {
        const match = matchRoute(BUNDLE, 'GET', `/shop/walks/${pieces.join('')}`);
        const path = match?.backendTarget.split('?')[0] ?? '';
        expect(decodeURIComponent(path).split('/')).to.not.include('..');
      }),
    );
  });
});

describe('caller keys', () => {
  it('guards against created keys that do not match the pattern or are not unique, and a longer text that passes as a key', () => {
    const keys = Array.from({ length: 50 }, createKey);
    expect(keys.every((key) => isKey(key) && KEY_PATTERN.test(`x ${key}.`))).to.equal(true);
    expect(new Set(keys.map(digestKey)).size).to.equal(50);
    expect(isKey(`${keys[0]}a`)).to.equal(false);
  });
});
